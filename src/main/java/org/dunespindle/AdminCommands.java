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
import org.dunespindle.transport.NettyHttpClient;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.ParseResult;

/** Subcommands that ask a running controller's administration API. */
final class AdminCommands {
    private static final int REFUSED = 1;
    private static final int UNREACHABLE = 3;
    private static final int SOCKETS = 256;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, String> READS = reads();

    private AdminCommands() {}

    private static Map<String, String> reads() {
        var reads = new LinkedHashMap<String, String>();
        reads.put("jobs", "List unfinished jobs and why they wait.");
        reads.put("hosts", "List machines.");
        reads.put("teams", "Show the teams' use and limits.");
        reads.put("controllers", "List live controllers.");
        reads.put("options", "Show the operators' settings.");
        reads.put("cells", "Show other cells, if the federation is on.");
        reads.put("delegations", "Show jobs given to other cells or taken in from them.");
        reads.put("decisions", "Show a controller's latest decisions.");
        reads.put("latency", "Show latencies of rounds and calls.");
        return reads;
    }

    static void addTo(CommandSpec spec) {
        READS.forEach((name, text) -> spec.addSubcommand(name, command(name, text)));
        spec.addSubcommand("job", command("job", "Show one job.").addPositional(argument("ID", "the job's id")));
        spec.addSubcommand(
                "drain",
                command("drain", "Give a machine back once its tasks have ended.")
                        .addPositional(argument("HOST", "the machine's id")));
        spec.addSubcommand(
                "abandon",
                command("abandon", "Give up another cell for good: its jobs are placed here again.")
                        .addPositional(argument("CELL", "the cell's name"))
                        .addOption(OptionSpec.builder("--confirm")
                                .paramLabel("CELL")
                                .type(String.class)
                                .description("the name again; without it the risk and the numbers of jobs are told")
                                .build()));
        spec.addSubcommand(
                "set",
                command("set", "Change one of the operators' settings for all controllers.")
                        .addPositional(argument("NAME=VALUE", "see 'options' for names and ranges")));
    }

    private static CommandSpec command(String name, String text) {
        CommandSpec c = CommandSpec.create().name(name).mixinStandardHelpOptions(true);
        c.usageMessage()
                .description(text)
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(Map.of("0", "done", "1", "the service refused", "2", "wrong use", "3", "no answer"));
        return c.addOption(OptionSpec.builder("--at")
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
        String at = parsed.matchedOptionValue("--at", "");
        String argument = parsed.matchedPositionalValue(0, "");
        var group = new NioEventLoopGroup(1);
        try {
            var http = new NettyHttpClient(group.next(), 4, new ConnectionBudget(SOCKETS));
            return switch (name) {
                case "job" -> print(call(http, at, "GET", "/v1/jobs/" + argument, new byte[0]));
                case "drain" -> print(call(http, at, "POST", "/v1/hosts/" + argument + "/drain", new byte[0]));
                case "set" -> set(http, at, argument);
                case "abandon" -> abandon(http, at, argument, parsed.matchedOptionValue("--confirm", ""));
                default -> print(call(http, at, "GET", "/v1/" + name, new byte[0]));
            };
        } catch (CompletionException e) {
            System.err.println(
                    "dunespindle: " + at + " does not answer: " + e.getCause().getMessage());
            return UNREACHABLE;
        } catch (IOException e) {
            System.err.println("dunespindle: " + at + " answers unreadably: " + e.getMessage());
            return UNREACHABLE;
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static int abandon(NettyHttpClient http, String at, String cell, String confirmed) throws IOException {
        byte[] body = JsonCodec.write(MessagePackCodec.map().put("confirm", confirmed));
        return print(call(http, at, "POST", "/v1/cells/" + cell + "/abandon", body));
    }

    private static HttpClientResponse call(NettyHttpClient http, String at, String method, String path, byte[] body) {
        return http.send(at, method, path, body, "application/json", TIMEOUT).join();
    }

    /** Reads the present stamp first, so that a change made meanwhile is not overwritten unseen. */
    private static int set(NettyHttpClient http, String at, String assignment) throws IOException {
        List<String> parts = List.of(assignment.split("=", 2));
        JsonNode value;
        try {
            value = parts.size() == 2 ? JSON.readTree(parts.get(1)) : null;
        } catch (IOException e) {
            value = null;
        }
        if (value == null || !value.isNumber()) {
            System.err.println("dunespindle: expected NAME=VALUE with a number, not " + assignment);
            return 2;
        }
        HttpClientResponse now = call(http, at, "GET", "/v1/options", new byte[0]);
        if (now.status() != 200) {
            return print(now);
        }
        ObjectNode change = MessagePackCodec.map()
                .put("stamp", JSON.readTree(now.body()).path("stamp").longValue());
        change.putObject("values").set(parts.get(0), value);
        return print(call(http, at, "PUT", "/v1/options", JsonCodec.write(change)));
    }

    private static int print(HttpClientResponse response) throws IOException {
        JsonNode body = JSON.readTree(response.body());
        if (response.status() == 200) {
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
        return REFUSED;
    }
}
