package org.cornelramp.wire.codec;

/**
 * Thrown for bytes that are not a valid frame of this version, or a message that does not fit into one. Immutable, safe
 * for use by any thread.
 */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** What is wrong with the bytes. */
    public enum Kind {
        /** The length exceeds the bound; set the same {@code bounds.frameBytes} in the whole fleet. */
        TOO_LARGE(true),
        /** The length leaves no room for version and type. */
        TOO_SHORT(true),
        /** The frame format has another version; upgrade the older process. */
        UNKNOWN_VERSION(true),
        /** This version does not know the message type; the frame is skipped. */
        UNKNOWN_TYPE(false),
        /** The body does not match the message type. */
        MALFORMED_BODY(true);

        private final boolean fatal;

        Kind(boolean fatal) {
            this.fatal = fatal;
        }

        /**
         * Whether the link must be closed. After a message of an unknown type the start of the next frame is still
         * known, and closing would disconnect adjacent versions from each other; after the other kinds the rest of
         * the stream cannot be trusted.
         */
        public boolean isFatal() {
            return fatal;
        }
    }

    public FrameException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    public FrameException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** What is wrong. */
    public Kind kind() {
        return kind;
    }
}
