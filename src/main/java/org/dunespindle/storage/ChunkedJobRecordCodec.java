package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;

/**
 * The stored form of a job's record that does not fit into one value. The main value holds the job's progress; everything
 * whose length varies becomes one text, which is divided between the main value and the chunks.
 */
final class ChunkedJobRecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TEXT = "text";
    private static final String CHUNK_COUNT = "parts";
    private static final String TEXT_LENGTH = "length";
    /** Bytes of a chunk beside its text: {@code {"text":""}}. */
    private static final int CHUNK_OVERHEAD_BYTES = 16;
    /** Separates description, allocations and requeued tasks in the text. JSON text holds no line break. */
    private static final String SECTION_SEPARATOR = "\n";

    private static final int SECTIONS = 3;

    private ChunkedJobRecordCodec() {}

    /**
     * A record divided into chunks.
     *
     * @param main the main value, with the beginning of the text
     * @param chunks the rest of the text, in order
     */
    record ChunkedRecord(ObjectNode main, List<String> chunks) {}

    /** Divides a record so that no value is longer than a limit. */
    static ChunkedRecord split(JobRecord job, int maxValueBytes) {
        ObjectNode main = MessagePackCodec.map();
        JobRecordCodec.putEnvelope(main, job);
        JobRecordCodec.putProgress(main, job);
        String text = text(job);
        // The size of the main value is measured with the longest number of chunks.
        main.put(TEXT_LENGTH, text.length()).put(CHUNK_COUNT, Integer.MAX_VALUE).put(TEXT, "");
        int mainEnd = endWithin(text, 0, maxValueBytes - MessagePackCodec.countedSize(main));
        main.put(TEXT, text.substring(0, mainEnd));
        List<String> chunks = chunks(text, mainEnd, maxValueBytes - CHUNK_OVERHEAD_BYTES);
        return new ChunkedRecord(main.put(CHUNK_COUNT, chunks.size()), chunks);
    }

    private static String text(JobRecord job) {
        // The description never changes, and a cancellation only drops what is requeued: what changes comes last.
        return String.join(
                SECTION_SEPARATOR,
                job.submission().toNode().toString(),
                AllocationCodec.toText(job.allocations()),
                JobRecordCodec.formatRequeued(job));
    }

    private static List<String> chunks(String text, int start, int maxTextBytes) {
        var chunks = new ArrayList<String>();
        int from = start;
        while (from < text.length()) {
            int to = endWithin(text, from, maxTextBytes);
            chunks.add(text.substring(from, to));
            from = to;
        }
        return chunks;
    }

    /** The end of the longest substring from a position on that takes at most so many bytes as a JSON string. */
    private static int endWithin(String text, int start, int maxBytes) {
        int bytesLeft = maxBytes;
        int end = start;
        while (end < text.length()) {
            boolean surrogatePair = Character.isHighSurrogate(text.charAt(end)) && end + 1 < text.length();
            bytesLeft -= surrogatePair ? 4 : escapedBytes(text.charAt(end));
            if (bytesLeft < 0) {
                break;
            }
            end += surrogatePair ? 2 : 1;
        }
        return end;
    }

    /** The size of a character in a JSON string in UTF-8, at most. */
    private static int escapedBytes(char character) {
        if (character == '"' || character == '\\') {
            return 2;
        }
        if (character < ' ') {
            return 6;
        }
        if (character < 0x80) {
            return 1;
        }
        return character < 0x800 ? 2 : 3;
    }

    /** The stored value of a chunk. */
    static ObjectNode chunkNode(String text) {
        return MessagePackCodec.map().put(TEXT, text);
    }

    /** The text that a chunk's stored value holds. */
    static String chunkText(JsonNode chunk) {
        return chunk.path(TEXT).asText();
    }

    /** Whether a main value is that of a chunked record. */
    static boolean isChunked(JsonNode main) {
        return main.has(CHUNK_COUNT);
    }

    /** The number of chunks that belong to a main value; 0 for a record that is one value. */
    static int chunkCount(JsonNode main) {
        return main.path(CHUNK_COUNT).asInt(0);
    }

    /** Parses a chunked record; chunks that do not belong together are refused. */
    static JobRecord parse(String id, JsonNode main, List<String> chunks) throws MalformedMessageException {
        String text = chunkText(main) + String.join("", chunks);
        String[] sections = text.split(SECTION_SEPARATOR, -1);
        if (text.length() != main.path(TEXT_LENGTH).asInt() || sections.length != SECTIONS) {
            throw new MalformedMessageException("chunks do not belong together");
        }
        try {
            Submission spec = Submission.parse(JSON.readTree(sections[0]));
            List<Allocation> allocations = AllocationCodec.parseText(sections[1]);
            return JobRecordCodec.parseUnfinished(id, main, spec, allocations, sections[2]);
        } catch (IOException | NumberFormatException e) {
            throw new MalformedMessageException("malformed text in chunks");
        }
    }
}
