package org.cornelramp.wire.codec;

/** Reports bytes that are not a frame of this version. Immutable, safe for use by any thread. */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** What is wrong with the bytes. */
    public enum Kind {
        /** The length is above the bound; set the same {@code bounds.frameBytes} in the whole fleet. */
        TOO_LARGE(true),
        /** The length leaves no room for version and type. */
        TOO_SHORT(true),
        /** The version of the frame's form is not this one; upgrade the older side. */
        UNKNOWN_VERSION(true),
        /** A message that this version does not know; its frame is skipped. */
        UNKNOWN_TYPE(false),
        /** The map is not that of the message type. */
        MALFORMED_BODY(true);

        private final boolean fatal;

        Kind(boolean fatal) {
            this.fatal = fatal;
        }

        /**
         * Whether the link must be closed. After a message of an unknown type the next frame's place is still
         * known, and closing would cut the links between neighbouring versions; after the others nothing that
         * follows can be trusted.
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
