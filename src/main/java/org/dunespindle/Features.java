package org.dunespindle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.federation.FederationSettings;
import org.dunespindle.protocol.MalformedMessageException;

/**
 * The features file, which enables optional parts of the program. Unlike in the platform's settings, an unknown name is an error, so that
 * a misspelt switch does not leave a feature disabled unnoticed.
 *
 * @param federation empty if the federation is disabled
 */
record Features(Optional<FederationSettings> federation) {
    private static final Set<String> TABLES = Set.of("federation");

    /** Reads and validates a features file; the exception names the invalid field. */
    static Features load(Path file) throws MalformedMessageException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new MalformedMessageException("cannot read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse("unreadable"));
        }
        return parse(root);
    }

    /** Validates a parsed features file; the exception names the invalid field. */
    static Features parse(JsonNode root) throws MalformedMessageException {
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            if (!TABLES.contains(entry.getKey())) {
                throw new MalformedMessageException(
                        entry.getKey() + " is unknown; known tables are " + String.join(", ", TABLES));
            }
        }
        return new Features(FederationSettings.parse(root.path("federation")));
    }
}
