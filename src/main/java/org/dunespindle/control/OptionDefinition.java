package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * An option that operators may set. The name, the range and the description are part of the administration API; the name is stored.
 *
 * @param min the smallest allowed value
 * @param max the largest allowed value
 * @param defaultForLease computes the default value from the workers' lease
 */
record OptionDefinition(
        String name,
        NumberType type,
        double min,
        double max,
        ToDoubleFunction<Duration> defaultForLease,
        String description) {

    /** The type of numbers that an option accepts. */
    enum NumberType {
        DECIMAL("number"),
        WHOLE("whole number");

        private final String displayName;

        NumberType(String displayName) {
            this.displayName = displayName;
        }
    }

    /** An option whose value may have a fraction. */
    static OptionDefinition decimal(String name, double min, double max, double defaultValue, String description) {
        return new OptionDefinition(name, NumberType.DECIMAL, min, max, lease -> defaultValue, description);
    }

    /** An option whose value is a whole number. */
    static OptionDefinition whole(String name, double min, double max, double defaultValue, String description) {
        return new OptionDefinition(name, NumberType.WHOLE, min, max, lease -> defaultValue, description);
    }

    /** The value if the option is not set. */
    double defaultValue(Duration workerLease) {
        return defaultForLease.applyAsDouble(workerLease);
    }

    /** The error message for an invalid value, with the allowed range; empty if the value is valid. */
    Optional<String> validate(JsonNode value) {
        if (value.isNumber() && accepts(value.doubleValue())) {
            return Optional.empty();
        }
        return Optional.of(name + " must be a " + type.displayName + " from " + withoutFraction(min) + " to "
                + withoutFraction(max));
    }

    private boolean accepts(double value) {
        boolean hasFraction = value != Math.rint(value);
        return value >= min && value <= max && !(type == NumberType.WHOLE && hasFraction);
    }

    private static String withoutFraction(double number) {
        return Long.toString((long) number);
    }

    /** Writes the option into an answer of the administration API. */
    void describe(ObjectNode answer, double value, Duration workerLease) {
        answer.put("name", name)
                .put("value", value)
                .put("default", defaultValue(workerLease))
                .put("least", min)
                .put("most", max)
                .put("type", type.displayName)
                .put("meaning", description);
    }
}
