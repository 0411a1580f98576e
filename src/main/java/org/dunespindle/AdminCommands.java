package org.dunespindle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.dunespindle.protocol.JsonCodec;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.transport.ConnectionBudget;
import org.dunespindle.transport.HttpClientResponse;
import org.dunespindle.transport.HttpStatus;
import org.dunespindle.transport.NettyHttpClient;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.ParseResult;

/** The command line's subcommands, which call a running controller's administration API. */
final class AdminCommands {
    private static final int EXIT_REFUSED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_UNREACHABLE = 3;
    private static final int MAX_SOCKETS = 256;
    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Subcommands that only read, by the resource that they show, with their descriptions. */
    private static final Map<String, String> READ_COMMANDS = readCommands();

    private AdminCommands() {}

    private static Map<String, String> readCommands() {
        var commands = new LinkedHashMap<String, String>();
        commands.put("jobs", "List unfinished jobs and why they wait.");
        commands.put("hosts", "List machines.");
        commands.put("teams", "Show the usage, guarantees and limits of the teams.");
        commands.put("controllers", "List live controllers.");
        commands.put("options", "Show the operators' options.");
        commands.put("cells", "Show other cells, if the federation is enabled.");
        commands.put("delegations", "Show jobs delegated to other cells or accepted from them.");
        commands.put("decisions", "Show a controller's latest decisions.");
        commands.put("latency", "Show latencies of decision rounds and calls.");
        commands.put("replica", "Show what a controller holds in memory, and its reads of single jobs.");
        return commands;
    }

    static void addTo(CommandSpec spec) {
        READ_COMMANDS.forEach((name, text) -> spec.addSubcommand(name, command(name, text)));
        spec.addSubcommand("job", command("job", "Show one job.").addPositional(argument("ID", "the job's id")));
        spec.addSubcommand(
                "drain",
                command("drain", "Terminate a machine once its tasks have ended.")
                        .addPositional(argument("HOST", "the machine's id")));
        spec.addSubcommand(
                "abandon",
                command("abandon", "Abandon another cell permanently: jobs delegated to it are placed here again.")
                        .addPositional(argument("CELL", "the cell's name"))
                        .addOption(OptionSpec.builder("--confirm")
                                .paramLabel("CELL")
                                .type(String.class)
                                .description(
                                        "the name again; without it only the risk and the numbers of jobs are shown")
                                .build()));
        spec.addSubcommand(
                "set",
                command("set", "Change one of the operators' options for all controllers.")
                        .addPositional(argument("NAME=VALUE", "see 'options' for names and ranges")));
    }

    private static CommandSpec command(String name, String text) {
        CommandSpec command = CommandSpec.create().name(name).mixinStandardHelpOptions(true);
        command.usageMessage()
                .description(text)
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(
                        Map.of("0", "done", "1", "refused by the controller", "2", "invalid usage", "3", "no answer"));
        return command.addOption(OptionSpec.builder("--at")
                .paramLabel("ADDRESS:PORT")
                .type(String.class)
                .required(true)
                .description("A controller's peer_listen address.")
                .build());
    }

    private static PositionalParamSpec argument(String label, String text) {
        return PositionalParamSpec.builder()
                .paramLabel(label)
                .type(String.class)
                .index("0")
                .arity("1")
                .required(true)
                .description(text)
                .build();
    }

    static int run(ParseResult parsed) {
        String name = parsed.commandSpec().name();
        String address = parsed.matchedOptionValue("--at", "");
        String argument = parsed.matchedPositionalValue(0, "");
        var group = new NioEventLoopGroup(1);
        try {
            var http = new NettyHttpClient(group.next(), MAX_IDLE_CONNECTIONS, new ConnectionBudget(MAX_SOCKETS));
            return switch (name) {
                case "job" -> print(call(http, address, "GET", "/v1/jobs/" + argument, new byte[0]));
                case "drain" -> print(call(http, address, "POST", "/v1/hosts/" + argument + "/drain", new byte[0]));
                case "set" -> set(http, address, argument);
                case "abandon" -> abandon(http, address, argument, parsed.matchedOptionValue("--confirm", ""));
                default -> print(call(http, address, "GET", "/v1/" + name, new byte[0]));
            };
        } catch (CompletionException e) {
            System.err.println("dunespindle: no answer from " + address + ": "
                    + e.getCause().getMessage());
            return EXIT_UNREACHABLE;
        } catch (IOException e) {
            System.err.println("dunespindle: the answer from " + address + " is not valid JSON: " + e.getMessage());
            return EXIT_UNREACHABLE;
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static int abandon(NettyHttpClient http, String address, String cell, String confirmed) throws IOException {
        byte[] body = JsonCodec.write(MessagePackCodec.map().put("confirm", confirmed));
        return print(call(http, address, "POST", "/v1/cells/" + cell + "/abandon", body));
    }

    private static HttpClientResponse call(
            NettyHttpClient http, String address, String method, String path, byte[] body) {
        return http.send(address, method, path, body, "application/json", TIMEOUT)
                .join();
    }

    /** Reads the current revision of the options first, so that a concurrent change is not overwritten. */
    private static int set(NettyHttpClient http, String address, String assignment) throws IOException {
        List<String> parts = List.of(assignment.split("=", 2));
        JsonNode value;
        try {
            value = parts.size() == 2 ? JSON.readTree(parts.get(1)) : null;
        } catch (IOException e) {
            value = null;
        }
        if (value == null || !value.isNumber()) {
            System.err.println("dunespindle: expected NAME=VALUE with a number as value, not " + assignment);
            return EXIT_USAGE;
        }
        HttpClientResponse current = call(http, address, "GET", "/v1/options", new byte[0]);
        if (current.status() != HttpStatus.OK) {
            return print(current);
        }
        ObjectNode change = MessagePackCodec.map()
                .put("stamp", JSON.readTree(current.body()).path("stamp").longValue());
        change.putObject("values").set(parts.get(0), value);
        return print(call(http, address, "PUT", "/v1/options", JsonCodec.write(change)));
    }

    private static int print(HttpClientResponse response) throws IOException {
        JsonNode body = JSON.readTree(response.body());
        if (response.status() == HttpStatus.OK) {
            System.out.println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(body));
            return 0;
        }
        System.err.println("dunespindle: refused (" + response.status() + "): "
                + body.path("error").asText("no reason given"));
        for (String count : List.of("jobsThere", "itsJobsHere")) {
            if (body.has(count)) {
                System.err.println("  " + count + ": " + body.get(count).asText());
            }
        }
        return EXIT_REFUSED;
    }
}
