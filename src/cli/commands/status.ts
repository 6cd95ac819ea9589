import { Flags } from "@oclif/core";
import { type Status, statusSchema } from "../api.js";
import { OperatorsCommand } from "../baseCommand.js";
import { formatSeconds, formatTable } from "../table.js";

function formatOptionalSeconds(ms: number | undefined) {
    return ms === undefined ? undefined : formatSeconds(ms);
}

function replicasTable(status: Status): string {
    return formatTable(
        ["replica", "service", "epoch", "data centre", "fabric domain", "leader", "members", "ready", "downtime"],
        status.replicas.map(item => [
            item.replicaId, item.service, item.epoch, item.dataCentre, item.fabricDomain, item.leaderVmId,
            item.memberVmIds.length, item.ready, formatOptionalSeconds(item.downtimeMs),
        ]),
    );
}

function upstreamsTable(status: Status): string {
    return formatTable(
        ["upstream", "service", "ready", "leaving", "running", "limit", "capacity"],
        status.upstreams.map(item => [item.upstreamId, item.service, item.ready, item.leaving, item.running, item.limit, item.capacity]),
    );
}

function vmsTable(status: Status): string {
    return formatTable(
        ["vm", "service", "kind", "data centre", "fabric domain", "state", "replica", "epoch", "heard ago ms", "stranded"],
        status.vms.map(item => [
            item.vmId, item.service, item.kind, item.dataCentre, item.fabricDomain, item.state,
            item.replicaId, item.epoch, Math.round(item.heardAgoMs), formatOptionalSeconds(item.strandedMs),
        ]),
    );
}

/** Shows the state of a region. */
export default class StatusCommand extends OperatorsCommand {
    static override summary = "Show replicas, upstreams, VMs, replica downtime and stranded accelerators of a region.";
    static override examples = ["<%= config.bin %> status", "<%= config.bin %> status --json"];
    static override flags = { vms: Flags.boolean({ description: "list the VMs too" }) };

    async run() {
        const { flags } = await this.parse(StatusCommand);
        const status = await this.withClient(flags, client => client.get("/v1/status", statusSchema, answer => answer.leads));
        const laggingCount = status.holders.filter(holder => holder.configurationVersion < status.configurationVersion).length;
        this.log([
            `region ${status.region}, answered by ${status.daemonId} (${status.leads ? "leader" : `${status.role}, receives no reports from VMs`})`,
            `configuration ${status.configurationVersion}, in force everywhere ${status.inForceVersion ?? "unknown"}; ` +
            `${status.holders.length} daemons hold a lease, ${laggingCount} of them behind`,
            `replica downtime ${formatSeconds(status.totals.replicaDowntimeMs)}, stranded accelerators ${formatSeconds(status.totals.strandedVmMs)}`,
            "",
            replicasTable(status),
            "",
            upstreamsTable(status),
            ...(flags.vms ? ["", vmsTable(status)] : []),
        ].join("\n"));
        return status;
    }
}
