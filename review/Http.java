package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages of HTTP/1.1 from a stream. Stateless. */
final class Http {
    private static final int MAX_LINE = 64 << 10;

    private Http() {}

    /** The start line and the header fields of a message, with names in lower case. */
    record Head(String start, Map<String, String> fields) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Reads a head; null at the end of the input before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Head(start, fields);
    }

    /** Reads a line without its end. */
    static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int one = in.read(); one != '\n'; one = in.read()) {
            if (one < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the message ends in the middle of its head");
            }
            if (one != '\r') {
                line.write(one);
            }
            if (line.size() > MAX_LINE) {
                throw new IOException("a line is too long");
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body that has a length or chunks; fails if it ends early. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!readLine(in, false).isEmpty()) {
                        // a trailer
                    }
                    return body.toByteArray();
                }
                body.write(readExactly(in, size));
                readLine(in, false);
            }
        }
        String length = head.field("content-length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body ends after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }
}
