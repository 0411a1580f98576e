package org.dunespindle.scheduling;

import it.unimi.dsi.fastutil.ints.IntIterator;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Places the tasks of arrays. */
final class ArrayPlanner {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    /** Jobs that left no room which one more of their tasks would fit into; room only shrinks while arrays are planned. */
    private final List<Submission> fullFor = new ArrayList<>();

    ArrayPlanner(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
    }

    /** An array while its tasks are placed. */
    private final class Progress {
        final JobRecord record;
        final Submission job;
        final Resources reserved;
        final ZoneRules zones;
        final IntIterator unplaced;
        final int unplacedCount;
        final int most;
        final Map<Integer, String> places = new LinkedHashMap<>();
        int placed;

        Progress(JobRecord record) {
            this.record = record;
            this.job = record.submission();
            this.reserved = state.reserved(job.team());
            this.zones = zoneChooser.rules(record);
            this.unplacedCount = record.unplacedCount();
            int underWay = record.allocations().size() - state.endedOf(record);
            this.most = Math.min(
                    unplacedCount, Math.max(0, state.snapshot().mostTasks().applyAsInt(record) - underWay));
            this.unplaced = record.unplaced(most).iterator();
        }

        int left() {
            return state.allowed(job, reserved, most - placed);
        }
    }

    /**
     * Places arrays that stand alike: each first where its image is, in their order, and only then where it must be fetched.
     * With machines full, a free place goes to whoever has the image there, and fewer of them fetch.
     */
    void place(List<JobRecord> alike) {
        List<Progress> arrays = alike.stream().map(Progress::new).toList();
        arrays.forEach(array -> place(array, true));
        arrays.forEach(array -> place(array, false));
        arrays.forEach(this::conclude);
    }

    private void place(Progress array, boolean withImage) {
        int left = array.left();
        if (left == 0 || full(array.job)) {
            return;
        }
        List<MachineCapacity> candidates =
                withImage ? state.candidatesWithImage(array.job) : state.candidates(array.job);
        for (MachineCapacity machine : state.roomy(array.job, candidates, array.zones, withImage)) {
            while (left > 0 && machine.fits(array.job.perTask()) && array.zones.allows(machine.host())) {
                take(array, machine);
                left--;
            }
        }
        if (left > 0 && !withImage) {
            fullFor.add(array.job);
        }
    }

    private void take(Progress array, MachineCapacity machine) {
        int task = array.unplaced.nextInt();
        array.placed++;
        state.take(array.job, machine);
        array.zones.add(machine.host().zone());
        if (machine.bookable()) {
            array.places.put(task, machine.host().id());
        } else {
            state.waits(array.record, "waits for machines that are booting");
        }
    }

    private void conclude(Progress array) {
        if (!state.snapshot().leftAlone().contains(array.record.id())) {
            state.book(array.record, array.places);
        }
        int allowed = array.left();
        if (array.placed + allowed < array.unplacedCount) {
            boolean recordFull = array.placed + allowed == array.most;
            state.waitsForNow(
                    array.record,
                    recordFull
                            ? "as many of its tasks are under way as its record takes"
                            : "its team's limit is used up");
        }
        int waiting = state.allowed(array.job, array.reserved.plus(state.pending(array.job.team())), allowed);
        if (waiting > 0) {
            state.addPending(array.job.team(), array.job.perTask().times(waiting));
            state.waits(array.record, "no room on machines it may use");
            state.lacks(array.record, waiting, array.zones.only());
        }
    }

    /** Whether an earlier job that asked for no more, and could go wherever this one can, already found no room left. */
    private boolean full(Submission job) {
        return fullFor.stream()
                .anyMatch(earlier ->
                        atLeastAsWide(earlier, job) && earlier.perTask().fitsIn(job.perTask()));
    }

    /** Whether one job may go wherever another may. */
    private static boolean atLeastAsWide(Submission one, Submission other) {
        boolean kind = one.spot() || !other.spot();
        boolean zone = one.zone().isEmpty() || one.zone().equals(other.zone());
        boolean type = one.types().isEmpty()
                || other.types().isPresent()
                        && one.types().get().containsAll(other.types().get());
        return kind && zone && type && !one.sameZone() && !one.spread();
    }
}
