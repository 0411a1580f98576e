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
 * The features file: what is switched on beyond the ordinary program. Unlike the platform's settings, what it does not know it
 * refuses: a switch that is misspelt must not stay off unnoticed.
 *
 * @param federation empty while switched off
 */
record Features(Optional<FederationSettings> federation) {
    private static final Set<String> TABLES = Set.of("federation");

    /** Reads the file; a complaint names the field. */
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

    /** Reads and checks the file's content. */
    static Features parse(JsonNode root) throws MalformedMessageException {
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            if (!TABLES.contains(entry.getKey())) {
                throw new MalformedMessageException(entry.getKey() + " is unknown");
            }
        }
        return new Features(FederationSettings.parse(root.path("federation")));
    }
}
