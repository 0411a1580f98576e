import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;

/** Users call off jobs within a fifth of a second, and the machines of these jobs hang from then on. */
final class HungCancel {
    private static final int JOBS = 5;
    private static final int HANGING = Integer.getInteger("hanging", 4);
    private static final double HANG_S = 40;
    private static final double CANCEL_S = 35;

    private HungCancel() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        var record = new Record(Path.of(args[0]).resolve("record.txt"));
        Path folder = Files.createTempDirectory("dunespindle-review");
        var controllers = new Controllers(3, folder, record, Recife.RESTART_DELAY_S);
        var state = Recife.state();
        Platform platform = Recife.platform(record, controllers);
        platform.maxMachines = 21;
        platform.fetchS = 0.5;
        platform.runS = 600;
        platform.cancelS = CANCEL_S;
        int statePort = Http.serve(state::answer);
        int cloudPort = Http.serve(platform::cloud);
        for (int node = 0; node < 3; node++) {
            controllers.settings(node, Recife.ZONES.get(node), cloudPort, statePort, Recife.SETTINGS);
            controllers.start(node);
        }
        platform.start();
        int result = run(trouble, record, controllers, platform);
        controllers.close();
        record.line("result %d", result);
        System.exit(result);
    }

    private static String id(int job) {
        return String.format("wk-%06d", job);
    }

    private static int run(boolean trouble, Record record, Controllers controllers, Platform platform) throws Exception {
        var users = new Users(record, controllers);
        if (!users.awaitHealthy(25)) {
            return 2;
        }
        // Each job fills one machine.
        for (int job = 0; job < JOBS; job++) {
            synchronized (platform) {
                platform.submissions.put(id(job), Recife.testSuites(id(job), 8));
            }
            if (!List.of(200, 201).contains(users.submit(job % 3, Recife.testSuites(id(job), 8)).status())) {
                return 2;
            }
        }
        double until = record.seconds() + 30;
        while (running(platform) < JOBS * 8) {
            if (record.seconds() > until) {
                return 2;
            }
            Thread.sleep(100);
        }
        Thread.sleep(5000);
        Set<Worker> machines = new LinkedHashSet<>();
        synchronized (platform) {
            for (int job = 0; job < HANGING; job++) {
                for (int task = 0; task < 8; task++) {
                    if (machines.size() < HANGING) {
                        machines.add(platform.workerOf(id(job) + "/" + task));
                    }
                }
            }
            if (trouble) {
                machines.forEach(machine -> machine.hang(true));
            }
        }
        var requests = new ArrayList<Future<?>>();
        for (int job = 0; job < HANGING; job++) {
            int number = job;
            requests.add(Http.THREADS.submit(() -> cancel(users, platform, record, number)));
        }
        for (Future<?> request : requests) {
            request.get();
        }
        Thread.sleep((long) (HANG_S * 1000));
        synchronized (platform) {
            if (trouble) {
                machines.forEach(machine -> machine.hang(false));
            }
        }
        Thread.sleep(2000);
        return platform.broken.isEmpty() ? 0 : 1;
    }

    private static long running(Platform platform) {
        long sum = 0;
        for (int job = 0; job < JOBS; job++) {
            sum += platform.count(id(job), "running");
        }
        return sum;
    }

    private static Void cancel(Users users, Platform platform, Record record, int job) throws InterruptedException {
        while (true) {
            Http.Reply reply = users.withdraw(job % 3, id(job));
            if (reply.status() == 200) {
                synchronized (platform) {
                    platform.cancelledAt.put(id(job), record.seconds());
                }
                return null;
            }
            Thread.sleep(1000);
        }
    }
}
