package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import trestlegrade.memory.HeadMemory;

/**
 * Holds back the fields of a request's head, and those of its trailer, as text until all of them have arrived, and then
 * passes them to the parser. Parsed fields hold many times the memory of their text, and a client may stop in the
 * middle of them. The request line is parsed as soon as it is complete, so that input which is not HTTP is rejected at
 * once.
 */
final class IncompleteHead {

    /** Parses input and adds the parts of messages to a list; it may leave a part of the input unread. */
    interface Parser {
        void parse(ByteBuf input) throws Exception;
    }

    private enum State {
        REQUEST_LINE,
        FIELDS,
        BODY,
        TRAILER
    }

    /** The length of a chunk without data, with or without an extension. */
    private static final Pattern LAST_CHUNK = Pattern.compile("\\s*0+\\s*(;.*)?");
    /** The memory that the parser keeps of a line, at least. */
    private static final int MIN_LINE_BUFFER_BYTES = 128;

    private final int maxRequestLineLength;
    private final int maxFieldsLength;
    private State state = State.REQUEST_LINE;
    private int requestLineLength;
    /** How much of the held text has been searched for the end of the head. */
    private int scannedLength;
    /** Where the line begins that has been searched last. */
    private int lineStart;
    /** The length of the complete lines that have been searched, without their ends. */
    private int fieldsLength;

    private int longestLineLength;
    private long heldBytes;

    /** The limits are those of the parser; line ends do not count. */
    IncompleteHead(int maxRequestLineLength, int maxFieldsLength) {
        this.maxRequestLineLength = maxRequestLineLength;
        this.maxFieldsLength = maxFieldsLength;
    }

    /** Returns the heap, in bytes, that the message in progress holds here and in the parser. */
    long heldBytes() {
        return heldBytes;
    }

    /**
     * Passes on as much of the input as may be parsed.
     *
     * @param parts the list to which the parser adds the parts of messages
     */
    void decode(ByteBuf input, List<Object> parts, Parser parser) throws Exception {
        int partCount = parts.size();
        switch (state) {
            case REQUEST_LINE -> decodeRequestLine(input, parser);
            case FIELDS, TRAILER -> decodeFields(input, parser);
            case BODY -> decodeBody(input, parts, parser);
        }
        for (Object part : parts.subList(partCount, parts.size())) {
            partParsed(part);
        }
        int lineBuffer = longestLineLength <= MIN_LINE_BUFFER_BYTES ? 0 : 2 * longestLineLength;
        int requestLine = state == State.FIELDS ? HeadMemory.MESSAGE_BYTES + requestLineLength : 0;
        heldBytes = (long) input.readableBytes() + requestLine + lineBuffer;
    }

    private void partParsed(Object part) {
        if (part instanceof HttpMessage) {
            state = State.BODY;
        }
        if (part instanceof LastHttpContent) {
            state = State.REQUEST_LINE;
        }
        scannedLength = 0;
        lineStart = 0;
        fieldsLength = 0;
    }

    private void decodeRequestLine(ByteBuf input, Parser parser) throws Exception {
        skipControlCharacters(input);
        int lineEnd = input.indexOf(input.readerIndex(), input.writerIndex(), HttpConstants.LF);
        if (lineEnd >= 0) {
            requestLineLength = lineEnd - input.readerIndex();
            longestLineLength = Math.max(longestLineLength, requestLineLength);
            state = State.FIELDS;
            parseUpTo(input, lineEnd + 1, parser);
        } else if (input.readableBytes() > maxRequestLineLength + 1) {
            // The parser rejects it.
            parser.parse(input);
        }
    }

    /** Skips what the parser skips before a request line, such as empty lines after a body. */
    private static void skipControlCharacters(ByteBuf input) {
        while (input.isReadable()) {
            byte next = input.getByte(input.readerIndex());
            if (!Character.isISOControl(next) && !Character.isWhitespace(next)) {
                return;
            }
            input.skipBytes(1);
        }
    }

    private void decodeFields(ByteBuf input, Parser parser) throws Exception {
        boolean complete = scanFields(input);
        int incompleteLine = complete ? 0 : scannedLength - lineStart;
        if (fieldsLength + incompleteLine > maxFieldsLength + 1) {
            rejectTooLong(input, parser);
        } else if (complete) {
            parseUpTo(input, input.readerIndex() + scannedLength, parser);
        }
    }

    /** Searches the input for the empty line at the end of the head. Returns whether it has been found. */
    private boolean scanFields(ByteBuf input) {
        int start = input.readerIndex();
        while (true) {
            int lineEnd = input.indexOf(start + scannedLength, input.writerIndex(), HttpConstants.LF);
            if (lineEnd < 0) {
                scannedLength = input.readableBytes();
                return false;
            }
            int length = lineEnd - start - lineStart;
            if (length > 0 && input.getByte(lineEnd - 1) == HttpConstants.CR) {
                length--;
            }
            scannedLength = lineEnd + 1 - start;
            lineStart = scannedLength;
            if (length == 0) {
                return true;
            }
            fieldsLength += length;
            longestLineLength = Math.max(longestLineLength, length);
        }
    }

    /** Makes the parser reject the head without parsing its fields, by a line that is too long. */
    private void rejectTooLong(ByteBuf input, Parser parser) throws Exception {
        input.skipBytes(input.readableBytes());
        byte[] line = new byte[maxFieldsLength + 2];
        Arrays.fill(line, (byte) 'x');
        parser.parse(Unpooled.wrappedBuffer(line));
    }

    private void decodeBody(ByteBuf input, List<Object> parts, Parser parser) throws Exception {
        int partCount = parts.size();
        int start = input.readerIndex();
        parser.parse(input);
        if (parts.size() == partCount && endsWithLastChunk(input, start)) {
            state = State.TRAILER;
        }
    }

    /**
     * Returns whether the input from {@code start} to the reader index ends with the line of a chunk without data,
     * behind which the trailer begins. The parser passes on nothing for such a line.
     */
    private static boolean endsWithLastChunk(ByteBuf input, int start) {
        int end = input.readerIndex();
        if (end == start || input.getByte(end - 1) != HttpConstants.LF) {
            return false;
        }
        int previousLineEnd = input.indexOf(end - 1, start, HttpConstants.LF);
        int lastLineStart = Math.max(start, previousLineEnd + 1);
        String line = input.toString(lastLineStart, end - 1 - lastLineStart, StandardCharsets.ISO_8859_1);
        return LAST_CHUNK.matcher(line).matches();
    }

    private static void parseUpTo(ByteBuf input, int end, Parser parser) throws Exception {
        int writerIndex = input.writerIndex();
        input.writerIndex(end);
        try {
            parser.parse(input);
        } finally {
            input.writerIndex(writerIndex);
        }
    }
}
