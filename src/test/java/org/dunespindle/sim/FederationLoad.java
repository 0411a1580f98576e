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
 * Measures the federation in the simulation and writes an HTML report: waiting times with and without spillover at increasing load of
 * one cell, the state writes and calls of each job, the recovery time after a partition, and the resources of controllers that run as
 * processes. Not part of the tests:
 * {@code mvn -q package -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/cp} and then
 * {@code java -cp target/test-classes:target/classes:$(cat target/cp) org.dunespindle.sim.FederationLoad REPORT.html}.
 */
public final class FederationLoad {
    private static final int SLOTS_OF_CELL_A = 8;
    private static final int TASK_DURATION_S = 20;
    private static final int ARRIVAL_PERIOD_S = 600;
    private static final double[] LOADS = {0.5, 0.75, 1.0, 1.25, 1.5};
    private static final double[] PERCENTILES = {50, 90, 99};
    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(60);
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
                + "<h1>Spillover between three cells</h1><p>A simulation on one machine, not a real deployment.</p>");
        reportWaitTimes();
        reportRecovery();
        processes();
        Files.writeString(file, html);
        System.exit(0); // does not wait for threads of libraries that are still shutting down
    }

    /** The results of a run of three cells. */
    private static final class Run {
        final Histogram waitTimes = new Histogram(3_600_000L, 3);
        int jobs;
        int delegated;
        int writes;
        int calls;
        List<String> violations = List.of();
    }

    private static Run run(double load, boolean spillover, long seed) {
        var federation = new SimulatedFederation(seed, 2, 4, 4);
        var random = new Random(seed);
        federation.cells.forEach(cell -> {
            cell.taskDurationOverride = task -> Optional.of(Duration.ofSeconds(TASK_DURATION_S));
            federation.sim.after(3000, () -> cell.setOptions(0, Map.of("spill_after_s", spillover ? 5.0 : 86_400.0)));
        });
        var run = new Run();
        var ids = new ArrayList<String>();
        double perSecond = load * SLOTS_OF_CELL_A / (TASK_DURATION_S + 2.0) / 2; // arrays of two tasks
        double at = 15;
        while (at < ARRIVAL_PERIOD_S) {
            String id = "wk-%06d".formatted(ids.size());
            ids.add(id);
            String team = random.nextBoolean() ? "red" : "blue";
            Submission job = FederationTest.job(id, team, JobKind.ARRAY, Priority.URGENT, 2);
            federation.sim.after((long) (at * 1000), () -> federation.cell("a").submit(job));
            at += -Math.log(1 - random.nextDouble()) / perSecond;
        }
        federation.sim.run(Duration.ofSeconds(ARRIVAL_PERIOD_S + 900));
        SimulatedCluster a = federation.cell("a");
        for (String id : ids) {
            Duration startedAt = null;
            for (SimulatedCluster cell : federation.cells) {
                startedAt = cell.startedAt.getOrDefault(id, startedAt);
            }
            if (startedAt != null) {
                run.waitTimes.recordValue(startedAt.minus(a.submittedAt.get(id)).toMillis());
            }
            run.delegated += List.of("b", "c").contains(federation.finishedIn(id)) ? 1 : 0;
        }
        run.jobs = ids.size();
        federation.cells.forEach(cell -> run.writes += cell.calls.counts.getOrDefault("writes", 0));
        federation.callsByType.forEach((kind, count) -> run.calls += count);
        run.violations = federation.violations();
        return run;
    }

    private static Run runs(double load, boolean spillover) {
        var sum = new Run();
        var violations = new ArrayList<String>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Run one = run(load, spillover, seed);
            sum.waitTimes.add(one.waitTimes);
            sum.jobs += one.jobs;
            sum.delegated += one.delegated;
            sum.writes += one.writes;
            sum.calls += one.calls;
            violations.addAll(one.violations);
        }
        sum.violations = violations;
        return sum;
    }

    private void reportWaitTimes() throws IOException {
        html.append("<h2>Seconds from submission to the first start (virtual time, ")
                .append(SEEDS)
                .append(" seeds)</h2><table>");
        row(
                "load of cell a",
                "spillover",
                "jobs",
                "delegated",
                "p50",
                "p90",
                "p99",
                "max",
                "writes/job",
                "calls/job",
                "violations");
        var curves = new LinkedHashMap<String, double[]>();
        for (boolean spillover : new boolean[] {false, true}) {
            var p90 = new double[LOADS.length];
            for (int i = 0; i < LOADS.length; i++) {
                Run run = runs(LOADS[i], spillover);
                p90[i] = run.waitTimes.getValueAtPercentile(90) / 1000.0;
                var cells = new ArrayList<String>(
                        List.of(LOADS[i] + "", spillover ? "on" : "off", run.jobs + "", run.delegated + ""));
                for (double percentile : PERCENTILES) {
                    cells.add(seconds(run.waitTimes.getValueAtPercentile(percentile)));
                }
                cells.add(seconds(run.waitTimes.getMaxValue()));
                cells.add("%.2f".formatted(run.writes / (double) run.jobs));
                cells.add("%.2f".formatted(run.calls / (double) run.jobs));
                cells.add(run.violations.size() + "");
                row(cells.toArray(new String[0]));
            }
            curves.put(spillover ? "with spillover" : "without", p90);
        }
        html.append("</table>");
        plot("90% start within", "load of cell a", "seconds", LOADS, curves);
    }

    /** Partitions the origin from both other cells while jobs are delegated, and measures how long after its end all jobs are done. */
    private void reportRecovery() {
        html.append("<h2>A partition of 60 s between cell a and both others while jobs are delegated</h2><table>");
        row("seed", "jobs delegated at its start", "done after its end (s)", "violations");
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedFederation federation = FederationTest.withFullOrigin(seed, 2, 4, 4);
            List<String> jobs = FederationTest.submitJobs(federation, 6);
            federation.sim.run(Duration.ofSeconds(58));
            long delegatedAtStart = federation.cell("a").state.rows().values().stream()
                    .filter(row -> row.value().has("away"))
                    .count();
            federation.setPartitioned(0, 1, true);
            federation.setPartitioned(0, 2, true);
            FederationTest.run(federation, 60);
            federation.setPartitioned(0, 1, false);
            federation.setPartitioned(0, 2, false);
            Duration partitionEnd = federation.sim.now();
            while (!jobs.stream().allMatch(federation.cell("a")::isOver)
                    && federation.sim.now().minus(partitionEnd).toSeconds() < 600) {
                federation.sim.run(federation.sim.now().plusMillis(200));
            }
            row(
                    seed + "",
                    delegatedAtStart + "",
                    seconds(federation.sim.now().minus(partitionEnd).toMillis()),
                    federation.violations().size() + "");
        }
        html.append("</table>");
    }

    /** Nine controllers as processes, with the feature off and on, idle and while jobs are delegated. */
    private void processes() throws Exception {
        html.append("<h2>Controllers as processes (deploy file's command line), ")
                .append(MEASUREMENT_TIME.toSeconds())
                .append(" s each</h2><table>");
        row("feature", "jobs submitted", "processor time per controller (% of a core)", "maximum memory (MB)", "done");
        for (boolean federated : new boolean[] {false, true}) {
            for (int jobs : federated ? new int[] {0, 30} : new int[] {0}) {
                processes(federated, jobs);
            }
        }
        html.append("</table>");
    }

    private void processes(boolean federated, int jobs) throws Exception {
        Path folder = Files.createTempDirectory("cells");
        var processes = new ArrayList<ControllerProcess>();
        LoopbackCells.ControllerStarter starter = (String cell, JsonNode settings, FederationSettings federation) -> {
            var process = new ControllerProcess(folder, cell, settings, federation, federated);
            processes.add(process);
            return process;
        };
        try (var cells = new LoopbackCells(starter, 2, 3, 3)) {
            cells.cells.forEach(cell -> cell.cluster.taskDurationOverride = task ->
                    Optional.of(task.job().startsWith("fill-") ? Duration.ofMinutes(5) : Duration.ofSeconds(2)));
            for (LoopbackCells.Cell cell : cells.cells) {
                String key = federated ? "ds/federation" : "ds/leader";
                cells.await(
                        "the cell is ready",
                        Duration.ofSeconds(60),
                        () -> cell.cluster.state.rows().containsKey(key));
            }
            LoopbackCells.Cell a = cells.cells.get(0);
            if (jobs > 0) {
                a.set("spill_after_s", 2);
                Submission filler = FederationTest.job("fill-000001", "red", JobKind.ARRAY, Priority.CRITICAL, 8);
                cells.on(() -> {
                    a.submit(filler);
                    return null;
                });
                cells.await(
                        "cell a is full",
                        Duration.ofSeconds(60),
                        () -> a.cluster.invariants.live().size() == 8);
            }
            measure(cells, a, processes, federated, jobs);
        }
    }

    private void measure(
            LoopbackCells cells, LoopbackCells.Cell a, List<ControllerProcess> processes, boolean federated, int jobs)
            throws Exception {
        var before = new ArrayList<Duration>();
        for (ControllerProcess process : processes) {
            before.add(process.processorTime());
        }
        Duration startedAt = Duration.ofNanos(System.nanoTime());
        for (int i = 0; i < jobs; i++) {
            Submission job = FederationTest.job("wk-%06d".formatted(i), "blue", JobKind.ARRAY, Priority.URGENT, 1);
            cells.on(() -> {
                a.submit(job);
                return null;
            });
        }
        cells.await(
                "the measurement time has passed",
                MEASUREMENT_TIME.plusSeconds(30),
                () -> Duration.ofNanos(System.nanoTime()).minus(startedAt).compareTo(MEASUREMENT_TIME) >= 0);
        double time = 0;
        double memory = 0;
        for (int i = 0; i < processes.size(); i++) {
            time += processes.get(i).processorTime().minus(before.get(i)).toMillis();
            memory = Math.max(memory, processes.get(i).peakMemoryMb());
        }
        int done = cells.on(() -> cells.completed().size());
        row(
                federated ? "on" : "off",
                jobs + "",
                "%.1f".formatted(100 * time / processes.size() / MEASUREMENT_TIME.toMillis()),
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
