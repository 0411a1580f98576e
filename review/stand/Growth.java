import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * Days of ordinary work: a job is run to its end, and its stored record, as the controllers wrote it, stands in for those of all earlier jobs. Then all
 * controllers crash once.
 */
final class Growth {
    private static final int RECORDS = Integer.getInteger("records", 100_000);
    private static final int RECORDS_PER_STEP = 500;
    private static final double FORGOTTEN_AFTER_S = 75;

    private Growth() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        var record = new Record(Path.of(args[0]).resolve("record.txt"));
        Path folder = Files.createTempDirectory("dunespindle-review");
        var controllers = new Controllers(3, folder, record, Deployment.RESTART_DELAY_S);
        var state = Deployment.state();
        Platform platform = Deployment.platform(record, controllers);
        int statePort = Http.serve(state::answer);
        int cloudPort = Http.serve(platform::cloud);
        for (int node = 0; node < 3; node++) {
            controllers.settings(node, Deployment.ZONE, cloudPort, statePort, Deployment.SETTINGS);
            controllers.start(node);
        }
        platform.start();
        platform.runS = 2;
        int result = run(trouble, record, controllers, state, platform);
        controllers.close();
        record.line("result %d", result);
        System.exit(result);
    }

    private static int run(boolean trouble, Record record, Controllers controllers, State state, Platform platform)
            throws Exception {
        var users = new Users(record, controllers);
        if (!users.awaitHealthy(25)) {
            return 2;
        }
        String id = "wk-000001";
        platform.submissions.put(id, Deployment.cleanup(id, 1));
        boolean accepted = Deployment.ACCEPTED.contains(users.submit(0, Deployment.cleanup(id, 1)).status());
        if (!accepted || !users.awaitPhase(0, id, "done", 25)) {
            return 2;
        }
        JsonNode stored = state.value("ds/job/" + id);
        record.line("record of the finished job: %s", stored);
        String last = "";
        for (int i = 0; i < RECORDS; i++) {
            last = String.format("wk-%06d", 100_000 + i);
            state.put("ds/job/" + last, stored);
            if (i % RECORDS_PER_STEP == 0) {
                Thread.sleep(60);
            }
        }
        record.line("%d records of finished jobs are stored", state.count("ds/job/"));
        for (int node = 0; node < 3; node++) {
            if (!users.awaitPhase(node, last, "done", 10)) {
                return 2;
            }
        }
        if (!controllers.ownEnds.isEmpty()) {
            record.line("a controller ended before the disruption");
            return trouble ? 2 : 1;
        }
        if (trouble) {
            for (int node = 0; node < 3; node++) {
                controllers.crash(node);
            }
            Thread.sleep((long) (Deployment.RESTART_DELAY_S * 1000));
        }
        return watch(record, users, id, controllers);
    }

    /** Users ask about the accepted job at every node, every two seconds, until 75 s have passed without an answer. */
    private static int watch(Record record, Users users, String id, Controllers controllers) throws Exception {
        double from = record.seconds();
        Set<Integer> answered = new HashSet<>();
        while (record.seconds() - from < FORGOTTEN_AFTER_S) {
            for (int node = 0; node < 3; node++) {
                Http.Reply reply = users.poll(node, id);
                if (reply.status() == 200) {
                    answered.add(node);
                } else if (reply.status() == 404) {
                    record.line("BROKEN forgotten: an accepted job got 404");
                    return 1;
                }
            }
            if (answered.size() == 3 && record.seconds() - from > 30) {
                break;
            }
            Thread.sleep(2000);
        }
        if (answered.isEmpty()) {
            record.line("BROKEN forgotten: no question about the accepted job was answered for %.0f s", FORGOTTEN_AFTER_S);
        }
        if (!controllers.ownEnds.isEmpty()) {
            record.line("BROKEN controllers ended by themselves %d times: %s", controllers.ownEnds.size(), controllers.ownEnds);
        }
        return answered.isEmpty() ? 1 : 0;
    }
}
