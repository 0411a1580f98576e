package org.dunespindle.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that terms which only the wire protocol uses stay inside the package {@code protocol}; other code uses the terms of the field. */
class WireVocabularyTest {
    private static final Path SOURCES = Path.of("src/main/java/org/dunespindle");
    /** Words of the wire protocol for which the code uses other terms; they are also found inside identifiers. */
    private static final Pattern WIRE_WORD = Pattern.compile(
            "(?i)(steward|baton|tenure|charter|tether|driftwood|piece|\\bhulls?\\b|\\bdunes?\\b|(?<!@Suppress)warningS|lingerS|flushS|guessS)");

    @Test
    void wireWordsAreUsedInTheProtocolPackageOnly() throws IOException {
        var found = new ArrayList<String>();
        for (Path file : sources()) {
            if (!file.startsWith(SOURCES.resolve("protocol"))) {
                found.addAll(wireWords(file));
            }
        }
        assertEquals(List.of(), found);
    }

    @Test
    void thePatternMatchesWireWords() throws IOException {
        assertTrue(
                wireWords(SOURCES.resolve("protocol/Submission.java")).size() > 3, "the pattern finds what it is for");
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .sorted()
                    .toList();
        }
    }

    private static List<String> wireWords(Path file) throws IOException {
        var found = new ArrayList<String>();
        Matcher matcher = WIRE_WORD.matcher(Files.readString(file));
        while (matcher.find()) {
            found.add(SOURCES.relativize(file) + ": " + matcher.group());
        }
        return found;
    }
}
