package org.dunespindle.federation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Messages between cells and stored records of the federation, recorded from simulated cells of an earlier version with one example of each
 * form, are read and written back unchanged. Otherwise cells of both versions could not exchange jobs, and a new process would misread
 * what an older one stored.
 */
class RecordedFormsCompatibilityTest {
    private static final String RECORDINGS = "/recorded-federation-forms.jsonl";
    private static final String JOB_PREFIX = "ds/job/";
    private static final ObjectMapper JSON = new ObjectMapper();

    @Test
    void recordedFormsAreReadAndWrittenBackUnchanged() throws IOException, MalformedMessageException {
        var counts = new TreeMap<String, Integer>();
        for (String line : recordings()) {
            JsonNode recording = JSON.readTree(line);
            String key = recording.path("key").asText();
            JsonNode value = recording.path("value");
            assertEquals(value, rewrite(recording.path("kind").asText(), key, value), line);
            counts.merge(form(recording.path("kind").asText(), key, value), 1, Integer::sum);
        }
        assertEquals(
                Map.ofEntries(
                        Map.entry("request hello", 3),
                        Map.entry("request offer", 8),
                        Map.entry("request progress", 1),
                        Map.entry("request recall", 1),
                        Map.entry("request cancel", 1),
                        Map.entry("reply greeting", 7),
                        Map.entry("reply reports", 8),
                        Map.entry("reply declined", 1),
                        Map.entry("reply not-served", 5),
                        Map.entry("record ds/federation", 3),
                        Map.entry("record ds/cell/", 3),
                        Map.entry("record ds/job/", 20)),
                counts);
    }

    private static JsonNode rewrite(String kind, String key, JsonNode value)
            throws IOException, MalformedMessageException {
        byte[] body = JSON.writeValueAsBytes(value);
        if (kind.equals("request")) {
            return JSON.readTree(CellMessageCodec.write(CellMessageCodec.readRequest(body)));
        }
        if (kind.equals("reply")) {
            return JSON.readTree(CellMessageCodec.write(CellMessageCodec.readReply(body)));
        }
        return JSON.readTree(rewriteRecord(key, value).toString());
    }

    private static JsonNode rewriteRecord(String key, JsonNode value) throws MalformedMessageException {
        if (key.startsWith(JOB_PREFIX)) {
            return JobRecord.parse(key.substring(JOB_PREFIX.length()), value).toNode();
        }
        return key.equals("ds/federation")
                ? FederationRecords.write(FederationRecords.parseOwnCell(value))
                : FederationRecords.write(FederationRecords.parseKnownCell(value));
    }

    private static String form(String kind, String key, JsonNode value) {
        String prefix = key.substring(0, key.lastIndexOf('/') + 1);
        String record = key.equals("ds/federation") ? key : prefix;
        return kind + " " + (kind.equals("record") ? record : value.path("kind").asText());
    }

    private static Iterable<String> recordings() throws IOException {
        try (var in = RecordedFormsCompatibilityTest.class.getResourceAsStream(RECORDINGS)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }
}
