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
 * The stored form of a job's record that does not fit into one value. The main value contains the job's progress; all fields
 * of variable length are joined into one text, which is split between the main value and the chunks.
 */
final class ChunkedJobRecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TEXT = "text";
    private static final String CHUNK_COUNT = "parts";
    private static final String TEXT_LENGTH = "length";
    /** An upper bound of the bytes of a chunk besides its text: {@code {"text":""}}. */
    private static final int CHUNK_OVERHEAD_BYTES = 16;
    /** Separates submission, allocations and requeued tasks in the text. The JSON in the text contains no line break. */
    private static final String SECTION_SEPARATOR = "\n";

    private static final int SECTIONS = 3;

    private ChunkedJobRecordCodec() {}

    /**
     * A record split into a main value and chunks.
     *
     * @param main the main value, with the beginning of the text
     * @param chunks the rest of the text, in order
     */
    record ChunkedRecord(ObjectNode main, List<String> chunks) {}

    /** Splits a record so that no value exceeds a limit. */
    static ChunkedRecord split(JobRecord job, int maxValueBytes) {
        ObjectNode main = MessagePackCodec.map();
        JobRecordCodec.putEnvelope(main, job);
        JobRecordCodec.putProgress(main, job);
        String text = text(job);
        // The size of the main value is computed with the longest possible chunk count.
        main.put(TEXT_LENGTH, text.length()).put(CHUNK_COUNT, Integer.MAX_VALUE).put(TEXT, "");
        int mainEnd = endWithin(text, 0, maxValueBytes - MessagePackCodec.jsonSize(main));
        main.put(TEXT, text.substring(0, mainEnd));
        List<String> chunks = chunks(text, mainEnd, maxValueBytes - CHUNK_OVERHEAD_BYTES);
        return new ChunkedRecord(main.put(CHUNK_COUNT, chunks.size()), chunks);
    }

    private static String text(JobRecord job) {
        // Sections that change come last: the submission never changes, and a cancellation only removes the requeued
        // tasks, so it needs no additional chunk.
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

    /** The end of the longest substring from {@code start} whose JSON string encoding is at most {@code maxBytes} long. */
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

    /** An upper bound of a character's size in a JSON string in UTF-8. */
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

    /** Extracts the text from the stored value of a chunk, or from a main value. */
    static String chunkText(JsonNode chunk) {
        return chunk.path(TEXT).asText();
    }

    /** Whether a job's main value belongs to a chunked record. */
    static boolean isChunked(JsonNode main) {
        return main.has(CHUNK_COUNT);
    }

    /** The number of chunks of a main value; 0 for a record stored as one value. */
    static int chunkCount(JsonNode main) {
        return main.path(CHUNK_COUNT).asInt(0);
    }

    /** Parses a chunked record. Rejects chunks that are not consistent with the main value. */
    static JobRecord parse(String id, JsonNode main, List<String> chunks) throws MalformedMessageException {
        String text = chunkText(main) + String.join("", chunks);
        String[] sections = text.split(SECTION_SEPARATOR, -1);
        if (text.length() != main.path(TEXT_LENGTH).asInt() || sections.length != SECTIONS) {
            throw new MalformedMessageException(
                    "chunks do not match the main value: text length " + text.length() + " in " + sections.length
                            + " sections, expected " + main.path(TEXT_LENGTH).asInt() + " in " + SECTIONS);
        }
        try {
            Submission spec = Submission.parse(JSON.readTree(sections[0]));
            List<Allocation> allocations = AllocationCodec.parseText(sections[1]);
            return JobRecordCodec.parseUnfinished(id, main, spec, allocations, sections[2]);
        } catch (IOException | NumberFormatException e) {
            throw new MalformedMessageException("malformed submission, allocations or requeued tasks in chunked text");
        }
    }
}
