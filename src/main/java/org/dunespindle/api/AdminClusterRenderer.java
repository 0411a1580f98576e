package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.Membership;
import org.dunespindle.job.TeamQuotas;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.TeamUsage;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;

/** Renders the cell's machines, teams and controllers for operators. */
final class AdminClusterRenderer {
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final TeamQuotas teamQuotas;

    AdminClusterRenderer(ControllerContext context, TeamQuotas teamQuotas) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.teamQuotas = teamQuotas;
    }

    /** All machines; a machine on loan is shown with the controller that lent it to the owner. */
    ObjectNode machines() {
        ObjectNode body = MessagePackCodec.map();
        ArrayNode list = body.putArray("hosts");
        replica.machines().values().forEach(machine -> list.add(machine(machine)));
        return body;
    }

    private ObjectNode machine(MachineRecord machine) {
        ObjectNode body = MessagePackCodec.map()
                .put("id", machine.id())
                .put("type", machine.type())
                .put("zone", machine.zone())
                .put("spot", machine.spot())
                .put("owner", machine.owner())
                .put("token", machine.token())
                .put("rented", machine.rentedAt().toString())
                .put("tasks", replica.allocationsOn(machine.id()).size())
                .put("leaving", machine.draining());
        membership
                .controllerOfMachine(machine.id())
                .filter(assigned -> !assigned.equals(machine.owner()))
                .ifPresent(assigned -> body.put("lentBy", assigned));
        return machine.draining() ? body.put("why", machine.drainReason()) : body;
    }

    /** All teams with their usage, guarantees and limits; a limit that is absent is infinite. */
    ObjectNode teams() {
        TeamUsage usage = TeamUsage.stored(replica);
        ObjectNode body = MessagePackCodec.map();
        ArrayNode list = body.putArray("teams");
        settings.teams().values().forEach(team -> putTeam(list.addObject(), team, usage.of(team.name())));
        return body;
    }

    private void putTeam(ObjectNode body, Settings.Team team, Resources used) {
        body.put("name", team.name())
                .put("cpusUsed", used.cpus())
                .put("gpusUsed", used.gpus())
                .put("cpusGuaranteed", team.cpus())
                .put("gpusGuaranteed", team.gpus());
        if (Double.isFinite(team.cpusMax())) {
            body.put("cpusMost", team.cpusMax());
        }
        if (Double.isFinite(team.gpusMax())) {
            body.put("gpusMost", team.gpusMax());
        }
        teamQuotas.writeStatus(team.name(), body.putObject("ledger"));
    }

    /** The live controllers and how many machines each owns. */
    ObjectNode controllers() {
        ObjectNode body = MessagePackCodec.map();
        membership.leader().ifPresent(leader -> body.put("leader", leader));
        ArrayNode list = body.putArray("controllers");
        replica.members()
                .forEach((name, member) -> list.addObject()
                        .put("name", name)
                        .put("incarnation", member.path("inc").longValue())
                        .put("machines", countMachinesOf(name)));
        return body;
    }

    private long countMachinesOf(String controllerName) {
        return replica.machines().values().stream()
                .filter(machine -> machine.owner().equals(controllerName))
                .count();
    }
}
