/**
 * The orders that move the VMs of a domain to the replicated state. An order is repeated until the VM's report matches, so a lost order or
 * answer needs no special handling. The epoch makes repeated orders idempotent at the sidecar.
 *
 * @module
 */

import type { Replica } from "../cluster/index.js";
import type { VmHealth } from "./health.js";
import type { Lookup } from "./overlay.js";
import type { DomainState } from "./state.js";
import { type AssessedVm, orderResendIntervalMs, type PlacementOrder, type PlacementView } from "./view.js";

export interface OrderContext {
    readonly view: PlacementView;
    readonly healths: Lookup<VmHealth>;
    readonly loads: ReadonlyMap<string, number>;
    readonly draining: Readonly<Record<string, string>>;
    readonly model: string | undefined;
}

function createMemberOrder(context: OrderContext, { vm, warm }: AssessedVm, replica: Replica): PlacementOrder | undefined {
    const { view, healths, loads, draining } = context;
    const drain = draining[replica.replicaId] !== undefined && replica.leaderVmId === vm.vmId;
    const mayLoad = loads.has(vm.vmId);
    const isApplied = vm.epoch === replica.epoch && vm.joined;
    if (isApplied && !drain && (warm || !mayLoad)) {
        return undefined;
    }
    const members = replica.memberVmIds.map(vmId => ({ vmId, address: healths.get(vmId)?.view.address ?? "" }));
    if (members.some(({ address }) => address === "")) {
        return undefined;
    }
    return {
        vmId: vm.vmId,
        replicaId: replica.replicaId,
        epoch: replica.epoch,
        fence: view.replicas.lastEpoch,
        members,
        leaderVmId: replica.leaderVmId,
        model: replica.model ?? "",
        mayLoad,
        drain,
    };
}

/** Creates the order that the VM needs now, or returns undefined if its report matches the replicated state. */
export function createOrder(context: OrderContext, assessed: AssessedVm): PlacementOrder | undefined {
    const { view, loads, model } = context;
    const { vm, warm } = assessed;
    const binding = view.replicas.bindings[vm.vmId];
    const replica = binding === undefined || binding.releasing ? undefined : view.replicas.replicas[binding.replicaId];
    if (replica !== undefined) {
        return createMemberOrder(context, assessed, replica);
    }
    const mayLoad = loads.has(vm.vmId) && !warm;
    const mustLeave = vm.epoch !== 0 || (binding !== undefined && vm.releasedEpoch < binding.epoch);
    if (!mustLeave && !mayLoad) {
        return undefined;
    }
    const { lastEpoch } = view.replicas;
    return {
        vmId: vm.vmId, replicaId: "", epoch: 0, fence: lastEpoch, members: [], leaderVmId: "", model: model ?? "", mayLoad, drain: false,
    };
}

/** Returns the orders to send to a domain's VMs in this step, and the updated pending orders. */
export function collectOrders(context: OrderContext, present: readonly AssessedVm[], pendingOrders: DomainState["pendingOrders"]) {
    const { nowMs } = context.view;
    const orders: PlacementOrder[] = [];
    const pending: Record<string, { signature: string; atMs: number }> = {};
    for (const assessed of present) {
        const order = createOrder(context, assessed);
        if (order === undefined) {
            continue;
        }
        const signature = `${order.epoch}/${order.epoch === 0 ? "" : order.members.map(({ address }) => address).join()}/${order.mayLoad}/${order.drain}`;
        const previous = pendingOrders[assessed.vm.vmId];
        const isRepeated = previous !== undefined && previous.signature === signature && nowMs - previous.atMs < orderResendIntervalMs;
        if (!isRepeated) {
            orders.push(order);
        }
        pending[assessed.vm.vmId] = isRepeated ? previous : { signature, atMs: nowMs };
    }
    return { orders, pendingOrders: pending };
}
