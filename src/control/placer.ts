/**
 * Runs the placement planner on the control leader's VM table, and converts between its types and those of the protocol.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import type { ClusterState, ReplicaCommand } from "../cluster/index.js";
import { initialPlacement, type PlacementOrder, planPlacement, type RepairPolicy, type VmView } from "../placement/index.js";
import { MemberSchema, type VmOrder, VmOrderSchema } from "../rpc/index.js";
import type { VmRecord } from "./vmTable.js";

/** The current time on both clocks, and when this leader was elected. */
export interface PlanningTime {
    readonly leadingSinceMs: number;
    readonly nowMs: number;
    readonly wallMs: number;
}

/** The result of one planning step: commands to propose in order, and orders to send to VMs. */
export interface PlacementActions {
    readonly commands: readonly ReplicaCommand[];
    readonly orders: readonly VmOrder[];
}

/** Plans placement step by step. */
export interface Placer {
    plan(state: ClusterState, vms: ReadonlyMap<string, VmRecord>, time: PlanningTime): PlacementActions;
    /** Resets the planner's state, because another control daemon leads now. */
    clear(): void;
}

function toView(record: VmRecord): VmView {
    const { report } = record;
    return {
        vmId: report.vmId,
        address: report.address,
        dataCentre: report.dataCentre,
        fabricDomain: report.fabricDomain,
        service: report.service,
        kind: report.kind === "model" ? "model" : "plain",
        get heardAtMs() {
            return record.heardAtMs;
        },
        sidecarBootId: report.sidecarBootId,
        engineBootId: report.engineBootId,
        engineUp: report.engineUp,
        leaving: report.leaving,
        epoch: Number(report.epoch),
        joined: report.joined,
        releasedEpoch: Number(report.releasedEpoch),
        models: report.models.join(),
        loadingModel: report.loadingModel,
        replicaReady: report.replicaReady,
        stepLatencyMs: report.tokenLatencyMs,
        stragglerVmIds: report.stragglerVmIds.join(),
    };
}

function toOrder(order: PlacementOrder): VmOrder {
    return create(VmOrderSchema, {
        ...order,
        epoch: BigInt(order.epoch),
        fence: BigInt(order.fence),
        members: order.members.map(member => create(MemberSchema, member)),
    });
}

/** Creates a placer in its initial state. */
export function createPlacer(policy: RepairPolicy): Placer {
    const views = new WeakMap<VmRecord, VmView>();
    let placement = initialPlacement;

    function getView(record: VmRecord): VmView {
        const cached = views.get(record);
        if (cached !== undefined) {
            return cached;
        }
        const view = toView(record);
        views.set(record, view);
        return view;
    }

    return {
        plan(state, records, time) {
            const vms = new Map([...records].map(([vmId, vm]) => [vmId, getView(vm)]));
            const { replicas, configuration } = state;
            const planned = planPlacement(placement, { ...time, vms, replicas, configuration: configuration.value }, { policy });
            placement = planned.state;
            return { commands: planned.commands, orders: planned.orders.map(toOrder) };
        },
        clear() {
            placement = initialPlacement;
        },
    };
}
