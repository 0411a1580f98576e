package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.dunespindle.federation.FederationSettings;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Measures the federation against the project's own stand-ins and writes an HTML report: waiting times with and without spilling as
 * one cell fills, what a moved job costs, how long a cut is felt, and what controllers use as processes. Not part of the tests:
 * {@code mvn -q package -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/cp} and then
 * {@code java -cp target/test-classes:target/classes:$(cat target/cp) org.dunespindle.sim.FederationLoad REPORT.html}.
 */
public final class FederationLoad {
    private static final int SLOTS_OF_A = 8;
    private static final int LENGTH_S = 20;
    private static final int ARRIVALS_S = 600;
    private static final double[] FILLS = {0.5, 0.75, 1.0, 1.25, 1.5};
    private static final double[] PERCENTILES = {50, 90, 99};
    private static final Duration MEASURED = Duration.ofSeconds(60);
    private static final int SEEDS = 5;

    private final StringBuilder html = new StringBuilder();

    private FederationLoad() {}

    /** Writes the report to the file that the first argument names. */
    public static void main(String[] args) throws Exception {
        new FederationLoad().report(Path.of(args[0]));
    }

    private void report(Path file) throws Exception {
        html.append("<!doctype html><meta charset=\"utf-8\"><title>Federation</title>"
                + "<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:0 1em;text-align:right}</style>"
                + "<h1>Spilling between three cells</h1><p>Own stand-ins on one machine, not a real deployment.</p>");
        waits();
        recovery();
        processes();
        Files.writeString(file, html);
        System.exit(0); // threads of the libraries that are still winding down
    }

    /** What one run of three cells gave. */
    private static final class Run {
        final Histogram waits = new Histogram(3_600_000L, 3);
        int jobs;
        int moved;
        int writes;
        int calls;
        List<String> broken = List.of();
    }

    private static Run run(double fill, boolean spilling, long seed) {
        var federation = new SimulatedFederation(seed, 2, 4, 4);
        var random = new Random(seed);
        federation.cells.forEach(cell -> {
            cell.taskDurationOverride = task -> Optional.of(Duration.ofSeconds(LENGTH_S));
            federation.sim.after(3000, () -> cell.setOptions(0, Map.of("spill_after_s", spilling ? 5.0 : 86_400.0)));
        });
        var run = new Run();
        var ids = new ArrayList<String>();
        double perSecond = fill * SLOTS_OF_A / (LENGTH_S + 2.0) / 2; // arrays of two tasks
        double at = 15;
        while (at < ARRIVALS_S) {
            String id = "wk-%06d".formatted(ids.size());
            ids.add(id);
            String team = random.nextBoolean() ? "red" : "blue";
            Submission job = FederationTest.job(id, team, JobKind.ARRAY, Priority.URGENT, 2);
            federation.sim.after((long) (at * 1000), () -> federation.cell("a").submit(job));
            at += -Math.log(1 - random.nextDouble()) / perSecond;
        }
        federation.sim.run(Duration.ofSeconds(ARRIVALS_S + 900));
        SimulatedCluster a = federation.cell("a");
        for (String id : ids) {
            Duration begun = null;
            for (SimulatedCluster cell : federation.cells) {
                begun = cell.startedAt.getOrDefault(id, begun);
            }
            if (begun != null) {
                run.waits.recordValue(begun.minus(a.submittedAt.get(id)).toMillis());
            }
            run.moved += List.of("b", "c").contains(federation.finishedIn(id)) ? 1 : 0;
        }
        run.jobs = ids.size();
        federation.cells.forEach(cell -> run.writes += cell.callCounts.getOrDefault("writes", 0));
        federation.calls.forEach((kind, count) -> run.calls += count);
        run.broken = federation.violations();
        return run;
    }

    private static Run runs(double fill, boolean spilling) {
        var sum = new Run();
        var broken = new ArrayList<String>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Run one = run(fill, spilling, seed);
            sum.waits.add(one.waits);
            sum.jobs += one.jobs;
            sum.moved += one.moved;
            sum.writes += one.writes;
            sum.calls += one.calls;
            broken.addAll(one.broken);
        }
        sum.broken = broken;
        return sum;
    }

    private void waits() throws IOException {
        html.append("<h2>Seconds from submission to the first start (virtual time, ")
                .append(SEEDS)
                .append(" seeds)</h2><table>");
        row(
                "fill of cell a",
                "spilling",
                "jobs",
                "moved",
                "p50",
                "p90",
                "p99",
                "max",
                "writes/job",
                "calls/job",
                "broken");
        var curves = new LinkedHashMap<String, double[]>();
        for (boolean spilling : new boolean[] {false, true}) {
            var p90 = new double[FILLS.length];
            for (int i = 0; i < FILLS.length; i++) {
                Run run = runs(FILLS[i], spilling);
                p90[i] = run.waits.getValueAtPercentile(90) / 1000.0;
                var cells = new ArrayList<String>(
                        List.of(FILLS[i] + "", spilling ? "on" : "off", run.jobs + "", run.moved + ""));
                for (double percentile : PERCENTILES) {
                    cells.add(seconds(run.waits.getValueAtPercentile(percentile)));
                }
                cells.add(seconds(run.waits.getMaxValue()));
                cells.add("%.2f".formatted(run.writes / (double) run.jobs));
                cells.add("%.2f".formatted(run.calls / (double) run.jobs));
                cells.add(run.broken.size() + "");
                row(cells.toArray(new String[0]));
            }
            curves.put(spilling ? "with spilling" : "without", p90);
        }
        html.append("</table>");
        plot("90% start within", "fill of cell a", "seconds", FILLS, curves);
    }

    /** A cut between the home and both others while jobs are given away: how long after its end all of them are done. */
    private void recovery() {
        html.append("<h2>A cut of 60 s between cell a and both others while jobs move</h2><table>");
        row("seed", "jobs away at the cut", "done after its end (s)", "broken");
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedFederation federation = FederationTest.filled(seed, 2, 4, 4);
            List<String> builds = FederationTest.submitBuilds(federation, 6);
            federation.sim.run(Duration.ofSeconds(58));
            long away = federation.cell("a").state.rows().values().stream()
                    .filter(row -> row.value().has("away"))
                    .count();
            federation.cut(0, 1, true);
            federation.cut(0, 2, true);
            FederationTest.run(federation, 60);
            federation.cut(0, 1, false);
            federation.cut(0, 2, false);
            Duration joined = federation.sim.now();
            while (!builds.stream().allMatch(federation.cell("a")::isOver)
                    && federation.sim.now().minus(joined).toSeconds() < 600) {
                federation.sim.run(federation.sim.now().plusMillis(200));
            }
            row(
                    seed + "",
                    away + "",
                    seconds(federation.sim.now().minus(joined).toMillis()),
                    federation.violations().size() + "");
        }
        html.append("</table>");
    }

    /** Nine controllers as processes, idle and while builds move, with the feature off and on. */
    private void processes() throws Exception {
        html.append("<h2>Controllers as processes (deploy file's command line), ")
                .append(MEASURED.toSeconds())
                .append(" s each</h2><table>");
        row("feature", "builds", "processor time per controller (% of a core)", "most memory (MB)", "done");
        for (boolean federated : new boolean[] {false, true}) {
            for (int builds : federated ? new int[] {0, 30} : new int[] {0}) {
                processes(federated, builds);
            }
        }
        html.append("</table>");
    }

    private void processes(boolean federated, int builds) throws Exception {
        Path folder = Files.createTempDirectory("cells");
        var processes = new ArrayList<ControllerProcess>();
        LoopbackCells.Starter starter = (String cell, JsonNode settings, FederationSettings federation) -> {
            var process = new ControllerProcess(folder, cell, settings, federation, federated);
            processes.add(process);
            return process;
        };
        try (var cells = new LoopbackCells(starter, 2, 3, 3)) {
            cells.cells.forEach(cell -> cell.standIns.taskDurationOverride = task ->
                    Optional.of(task.job().startsWith("fill-") ? Duration.ofMinutes(5) : Duration.ofSeconds(2)));
            for (LoopbackCells.Cell cell : cells.cells) {
                String key = federated ? "ds/federation" : "ds/leader";
                cells.await(
                        "it is ready",
                        Duration.ofSeconds(60),
                        () -> cell.standIns.state.rows().containsKey(key));
            }
            LoopbackCells.Cell a = cells.cells.get(0);
            if (builds > 0) {
                a.set("spill_after_s", 2);
                Submission fill = FederationTest.job("fill-000001", "red", JobKind.ARRAY, Priority.CRITICAL, 8);
                cells.on(() -> {
                    a.submit(fill);
                    return null;
                });
                cells.await(
                        "a is full",
                        Duration.ofSeconds(60),
                        () -> a.standIns.invariants.live().size() == 8);
            }
            measure(cells, a, processes, federated, builds);
        }
    }

    private void measure(
            LoopbackCells cells, LoopbackCells.Cell a, List<ControllerProcess> processes, boolean federated, int builds)
            throws Exception {
        var before = new ArrayList<Duration>();
        for (ControllerProcess process : processes) {
            before.add(process.processorTime());
        }
        Duration begun = Duration.ofNanos(System.nanoTime());
        for (int i = 0; i < builds; i++) {
            Submission build = FederationTest.job("wk-%06d".formatted(i), "blue", JobKind.ARRAY, Priority.URGENT, 1);
            cells.on(() -> {
                a.submit(build);
                return null;
            });
        }
        cells.await(
                "the time is over",
                MEASURED.plusSeconds(30),
                () -> Duration.ofNanos(System.nanoTime()).minus(begun).compareTo(MEASURED) >= 0);
        double time = 0;
        double memory = 0;
        for (int i = 0; i < processes.size(); i++) {
            time += processes.get(i).processorTime().minus(before.get(i)).toMillis();
            memory = Math.max(memory, processes.get(i).peakMemoryMb());
        }
        int done = cells.on(() -> cells.completed().size());
        row(
                federated ? "on" : "off",
                builds + "",
                "%.1f".formatted(100 * time / processes.size() / MEASURED.toMillis()),
                "%.0f".formatted(memory),
                done + "");
    }

    private static String seconds(long millis) {
        return "%.1f".formatted(millis / 1000.0);
    }

    private void row(String... cells) {
        System.out.println(String.join(" | ", cells));
        html.append("<tr><td>").append(String.join("</td><td>", cells)).append("</td></tr>");
    }

    private void plot(String title, String x, String y, double[] xs, Map<String, double[]> curves) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(700)
                .height(400)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        curves.forEach((name, ys) -> chart.addSeries(name, xs, ys));
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        html.append("<p><img alt=\"")
                .append(title)
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png))
                .append("\">");
    }
}
