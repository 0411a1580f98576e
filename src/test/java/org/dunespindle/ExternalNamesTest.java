package org.dunespindle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards the names and texts that users, workers, other controllers and cells, the state store, operators and the platform depend on: a
 * rename in the sources must not change them unnoticed. {@code external-names.txt} lists every name with the packages whose sources contain
 * it; {@code external-texts.txt} lists the messages that the operators' documentation quotes.
 */
class ExternalNamesTest {
    private static final Path SOURCES = Path.of("src/main/java/org/dunespindle");
    private static final Path NAMES = Path.of("src/test/resources/external-names.txt");
    private static final Path TEXTS = Path.of("src/test/resources/external-texts.txt");
    private static final Pattern COMMENT = Pattern.compile("(?s:/\\*.*?\\*/)|(?m:^\\s*//.*$|(?<=[;{}(,\\s])// .*$)");
    private static final Pattern LITERAL = Pattern.compile("(?<!\\w)\"((?:[^\"\\\\\\n]|\\\\.)*)\"");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_./:-]*[A-Za-z][A-Za-z0-9_./:-]*");
    private static final Pattern ENUM_CONSTANT = Pattern.compile("(?m)^ *([A-Z][A-Z0-9_]+)(?=[(,;]|$)");
    private static final String ENUM_SUFFIX = "/enum";
    /** Sample messages with which the build records the class archive; they are never sent to other systems. */
    private static final Set<String> TRAINING_FILES = Set.of("ClassArchiveTraining.java", "SampleMessages.java");
    /** Literals that are no external names: parts of sentences, system properties of libraries, and names of compiler checks. */
    private static final Set<String> INTERNAL = Set.of(
            "another",
            "controllers.",
            "it",
            "of",
            "this",
            "unreadable",
            "untouched",
            "true",
            "false",
            "warn",
            "ReferenceEquality",
            "00:00:00:00:00:00:00:01",
            "io.netty.machineId",
            "org.slf4j.simpleLogger.defaultLogLevel",
            "org.slf4j.simpleLogger.log.io.netty",
            "org.slf4j.simpleLogger.showShortLogName",
            "org.slf4j.simpleLogger.showThreadName");

    @Test
    void everyNameInTheSourcesIsListedWithItsPackages() throws IOException {
        Map<String, Set<String>> expected = new TreeMap<>();
        listedNames()
                .forEach((name, places) -> places.stream()
                        .filter(place -> !place.endsWith(ENUM_SUFFIX))
                        .forEach(place -> add(expected, name, place)));
        assertEquals(lines(expected), lines(namesInLiterals()));
    }

    @Test
    void everyListedEnumConstantIsDeclared() throws IOException {
        Map<String, Set<String>> declared = enumConstants();
        var missing = new ArrayList<String>();
        listedNames()
                .forEach((name, places) -> places.stream()
                        .filter(place -> place.endsWith(ENUM_SUFFIX))
                        .filter(place -> !declared.getOrDefault(name, Set.of()).contains(place))
                        .forEach(place -> missing.add(name + " " + place)));
        assertEquals(List.of(), missing);
    }

    @Test
    void everyListedTextIsInTheSources() throws IOException {
        var literals = new StringBuilder();
        for (Path file : sources()) {
            // A literal that is split over several lines counts as one text.
            String joined = withoutComments(file).replaceAll("\"\\s*\\n\\s*\\+ \"", "");
            LITERAL.matcher(joined)
                    .results()
                    .forEach(literal -> literals.append(literal.group(1)).append('\n'));
        }
        var missing = new ArrayList<String>();
        for (String text : Files.readAllLines(TEXTS)) {
            if (literals.indexOf(text) < 0) {
                missing.add(text);
            }
        }
        assertEquals(List.of(), missing);
    }

    private static Map<String, Set<String>> listedNames() throws IOException {
        Map<String, Set<String>> names = new TreeMap<>();
        for (String line : Files.readAllLines(NAMES)) {
            String[] words = line.split(" ");
            names.put(words[0], new TreeSet<>(Arrays.asList(words).subList(1, words.length)));
        }
        return names;
    }

    private static Map<String, Set<String>> namesInLiterals() throws IOException {
        Map<String, Set<String>> names = new TreeMap<>();
        for (Path file : sources()) {
            if (!TRAINING_FILES.contains(file.getFileName().toString())) {
                LITERAL.matcher(withoutComments(file))
                        .results()
                        .map(literal -> literal.group(1))
                        .filter(text -> NAME.matcher(text).matches() && !INTERNAL.contains(text))
                        .flatMap(text -> Stream.of(text.split("[.:]")))
                        .filter(name -> name.chars().anyMatch(Character::isLetter))
                        .forEach(name -> add(names, name, place(file)));
            }
        }
        return names;
    }

    private static Map<String, Set<String>> enumConstants() throws IOException {
        Map<String, Set<String>> constants = new TreeMap<>();
        for (Path file : sources()) {
            ENUM_CONSTANT
                    .matcher(withoutComments(file))
                    .results()
                    .map(MatchResult::group)
                    .forEach(constant -> add(constants, constant.strip(), place(file) + ENUM_SUFFIX));
        }
        return constants;
    }

    private static void add(Map<String, Set<String>> names, String name, String place) {
        names.computeIfAbsent(name, key -> new TreeSet<>()).add(place);
    }

    /** One line per name, so that a failure shows the differing lines. */
    private static String lines(Map<String, Set<String>> names) {
        var text = new StringBuilder();
        names.forEach((name, places) ->
                text.append(name).append(' ').append(String.join(" ", places)).append('\n'));
        return text.toString();
    }

    private static String place(Path file) {
        String folder = SOURCES.relativize(file.getParent()).toString();
        return folder.isEmpty() ? "process" : folder;
    }

    private static String withoutComments(Path file) {
        try {
            return COMMENT.matcher(Files.readString(file)).replaceAll("");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .sorted()
                    .toList();
        }
    }
}
