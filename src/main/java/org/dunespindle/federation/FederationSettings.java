package org.dunespindle.federation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.MalformedMessageException;

/**
 * The validated {@code federation} table of a features file.
 *
 * @param cell this cell's name
 * @param port the port on which this controller serves other cells, at the host of its {@code peer_listen}; 0 for any free port
 */
public record FederationSettings(String cell, int port, List<RemoteCell> cells) {
    private static final String FIELD_PREFIX = "federation.";
    private static final String CELLS_FIELD_PREFIX = "federation.cells.";
    private static final Set<String> FIELDS = Set.of("enabled", "cell", "port", "cells");
    private static final Set<String> CELL_FIELDS = Set.of("name", "controllers");
    private static final String NAME = "[a-z0-9][a-z0-9-]{0,31}";
    private static final String ADDRESS = "[^:\\s]+:\\d{1,5}";
    private static final int MAX_PORT = 65_535;

    /**
     * A remote cell.
     *
     * @param controllers the addresses at which its controllers serve other cells, by controller name
     */
    public record RemoteCell(String name, Map<String, String> controllers) {}

    /** Parses the table; empty if it is missing or disabled. The message of an exception names the field. */
    public static Optional<FederationSettings> parse(JsonNode table) throws MalformedMessageException {
        if (table.isMissingNode()) {
            return Optional.empty();
        }
        require(table.isObject(), "federation must be a table");
        requireKnownFields(table, FIELDS, FIELD_PREFIX);
        require(table.path("enabled").isBoolean(), FIELD_PREFIX + "enabled must be true or false");
        if (!table.get("enabled").booleanValue()) {
            return Optional.empty();
        }
        String cell = name(table.path("cell"), FIELD_PREFIX + "cell");
        JsonNode port = table.path("port");
        boolean portValid = port.isIntegralNumber() && port.longValue() >= 0 && port.longValue() <= MAX_PORT;
        require(portValid, FIELD_PREFIX + "port must be a whole number from 0 to " + MAX_PORT);
        return Optional.of(new FederationSettings(cell, port.intValue(), cells(table.path("cells"), cell)));
    }

    private static List<RemoteCell> cells(JsonNode list, String self) throws MalformedMessageException {
        require(list.isArray() && !list.isEmpty(), FIELD_PREFIX + "cells must name at least one other cell");
        var cells = new ArrayList<RemoteCell>();
        for (JsonNode row : list) {
            requireKnownFields(row, CELL_FIELDS, CELLS_FIELD_PREFIX);
            String name = name(row.path("name"), CELLS_FIELD_PREFIX + "name");
            require(!name.equals(self), CELLS_FIELD_PREFIX + "name " + name + " is this cell's own name");
            require(
                    cells.stream().noneMatch(other -> other.name.equals(name)),
                    CELLS_FIELD_PREFIX + "name " + name + " occurs twice");
            cells.add(new RemoteCell(name, controllers(row.path("controllers"))));
        }
        return List.copyOf(cells);
    }

    private static Map<String, String> controllers(JsonNode table) throws MalformedMessageException {
        require(
                table.isObject() && !table.isEmpty(),
                CELLS_FIELD_PREFIX + "controllers must be a table of controllers' names and addresses");
        var controllers = new LinkedHashMap<String, String>();
        for (Map.Entry<String, JsonNode> entry : table.properties()) {
            String address = entry.getValue().asText();
            require(
                    address.matches(ADDRESS),
                    CELLS_FIELD_PREFIX + "controllers." + entry.getKey() + " must be address:port, not " + address);
            controllers.put(entry.getKey(), address);
        }
        return java.util.Collections.unmodifiableMap(controllers);
    }

    private static String name(JsonNode value, String field) throws MalformedMessageException {
        require(
                value.isTextual() && value.textValue().matches(NAME),
                field + " must be 1 to 32 lower-case letters, digits and dashes");
        return value.textValue();
    }

    private static void requireKnownFields(JsonNode table, Set<String> fields, String prefix)
            throws MalformedMessageException {
        for (Map.Entry<String, JsonNode> entry : table.properties()) {
            require(fields.contains(entry.getKey()), prefix + entry.getKey() + " is unknown");
        }
    }

    private static void require(boolean valid, String message) throws MalformedMessageException {
        if (!valid) {
            throw new MalformedMessageException(message);
        }
    }
}
