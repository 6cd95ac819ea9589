/**
 * Builds the directory of upstreams that entries choose from, based on the replicas and the VM reports.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import type { ClusterState, Replica } from "../cluster/index.js";
import { type DirectoryUpdate, DirectoryUpdateSchema, type Upstream, UpstreamSchema } from "../rpc/index.js";
import type { VmRecord } from "./vmTable.js";

/** A VM that is silent for this long is removed from the directory. Its lease would have expired as well. */
export const vmSilenceTimeoutMs = 2_500;

function replicaUpstream(replica: Replica, record: VmRecord, capacity: number): Upstream {
    const { report } = record;
    return create(UpstreamSchema, {
        upstreamId: replica.replicaId,
        service: replica.service,
        kind: "model",
        dataCentre: replica.dataCentre,
        address: report.address,
        epoch: BigInt(replica.epoch),
        sidecarBootId: report.sidecarBootId,
        ready: report.replicaReady && Number(report.epoch) === replica.epoch,
        leaving: report.leaving,
        capacity,
        models: replica.model === undefined ? [] : [replica.model],
    });
}

function plainUpstream(record: VmRecord, capacity: number): Upstream {
    const { report } = record;
    return create(UpstreamSchema, {
        upstreamId: report.vmId,
        service: report.service,
        kind: "plain",
        dataCentre: report.dataCentre,
        address: report.address,
        epoch: 0n,
        sidecarBootId: report.sidecarBootId,
        ready: report.engineUp,
        leaving: report.leaving,
        capacity,
    });
}

/** Returns the directory of upstreams by id. */
export function buildDirectory(state: ClusterState, vms: ReadonlyMap<string, VmRecord>, nowMs: number): Map<string, Upstream> {
    const capacities = new Map(state.configuration.value.services.map(service => [service.name, service.capacity]));
    const upstreams = new Map<string, Upstream>();
    for (const replica of Object.values(state.replicas.replicas)) {
        const record = vms.get(replica.leaderVmId);
        if (record !== undefined && nowMs - record.heardAtMs < vmSilenceTimeoutMs) {
            upstreams.set(replica.replicaId, replicaUpstream(replica, record, capacities.get(replica.service) ?? 1));
        }
    }
    for (const record of vms.values()) {
        if (record.report.kind === "plain" && nowMs - record.heardAtMs < vmSilenceTimeoutMs) {
            upstreams.set(record.report.vmId, plainUpstream(record, capacities.get(record.report.service) ?? 1));
        }
    }
    return upstreams;
}

function isSameUpstream(a: Upstream, b: Upstream): boolean {
    return a.ready === b.ready && a.leaving === b.leaving && a.epoch === b.epoch && a.address === b.address &&
        a.sidecarBootId === b.sidecarBootId && a.capacity === b.capacity;
}

/** Returns the difference between two directories, or undefined if there is none. */
export function diffDirectories(
    before: ReadonlyMap<string, Upstream>,
    after: ReadonlyMap<string, Upstream>,
    version: number,
): DirectoryUpdate | undefined {
    const removed = [...before.keys()].filter(id => !after.has(id));
    const upstreams = [...after.values()].filter(upstream => {
        const earlier = before.get(upstream.upstreamId);
        return earlier === undefined || !isSameUpstream(earlier, upstream);
    });
    if (removed.length === 0 && upstreams.length === 0) {
        return undefined;
    }
    return create(DirectoryUpdateSchema, { version: BigInt(version), whole: false, upstreams, removed });
}

/** Returns the whole directory as one message. */
export function createFullUpdate(upstreams: ReadonlyMap<string, Upstream>, version: number): DirectoryUpdate {
    return create(DirectoryUpdateSchema, { version: BigInt(version), whole: true, upstreams: [...upstreams.values()] });
}
