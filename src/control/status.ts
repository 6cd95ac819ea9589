/**
 * The status of a region for operators, as known to the control daemon that serves the request.
 *
 * @module
 */

import type { Binding } from "../cluster/index.js";
import type { Upstream } from "../rpc/index.js";
import type { Control } from "./control.js";
import { vmSilenceTimeoutMs } from "./directory.js";
import type { VmRecord } from "./vmTable.js";

function vmState(record: VmRecord, binding: Binding | undefined, nowMs: number): string {
    if (nowMs - record.heardAtMs > vmSilenceTimeoutMs) {
        return "silent";
    }
    if (record.report.leaving) {
        return "leaving";
    }
    if (!record.report.engineUp) {
        return "engine-down";
    }
    if (record.report.kind === "plain") {
        return "serving";
    }
    return binding === undefined ? "free" : binding.releasing ? "releasing" : "member";
}

function vmStatus(record: VmRecord, binding: Binding | undefined, nowMs: number) {
    const { report } = record;
    return {
        vmId: report.vmId,
        service: report.service,
        kind: report.kind,
        dataCentre: report.dataCentre,
        fabricDomain: report.fabricDomain,
        state: vmState(record, binding, nowMs),
        replicaId: binding?.replicaId,
        epoch: binding?.epoch,
        heardAgoMs: Math.round(nowMs - record.heardAtMs),
    };
}

function upstreamStatus({ upstreamId, service, kind, dataCentre, ready, leaving, capacity }: Upstream) {
    return { upstreamId, service, kind, dataCentre, ready, leaving, capacity };
}

/** Returns the status as the operators' listener sends it. */
export function buildStatus(control: Control, region: string, daemonId: string) {
    const { log, table, sessions, directory } = control;
    const nowMs = control.nowMs();
    const { replicas, bindings } = log.state.replicas;
    return {
        region,
        daemonId,
        role: log.role,
        leads: control.isLeader(),
        leaderAddress: log.leaderAddress,
        configurationVersion: log.state.configuration.version,
        inForceVersion: control.inForce(),
        dataCentres: log.state.configuration.value.dataCentres,
        holders: [...sessions.holders.values()].map(({ daemonId: holder, configVersion, leaseUntilMs }) =>
            ({ daemonId: holder, configurationVersion: configVersion, leaseRemainingMs: Math.round(leaseUntilMs - nowMs) })),
        replicas: Object.values(replicas).map(replica => ({ ...replica, ready: directory.get(replica.replicaId)?.ready ?? false })),
        vms: [...table.vms.values()].map(record => vmStatus(record, bindings[record.report.vmId], nowMs)),
        upstreams: [...directory.values()].map(upstreamStatus),
        totals: control.meters.totals,
    };
}
