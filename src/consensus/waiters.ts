/**
 * Helpers of the shell: callers that wait for the reducer's answer with a timeout, batching, and a timer for the next tick.
 *
 * @module
 */

export interface Waiters<Value> {
    /** Waits for the value of `id`; resolves to `timeoutValue` after `timeoutMs`. */
    wait(id: string, timeoutMs: number, timeoutValue: Value): Promise<Value>;
    settle(id: string, value: Value): void;
    settleAll(value: Value): void;
}

export function createWaiters<Value>(): Waiters<Value> {
    const settlers = new Map<string, (value: Value) => void>();
    return {
        wait: (id, timeoutMs, timeoutValue) => new Promise(resolve => {
            function settle(value: Value) {
                clearTimeout(timeout);
                settlers.delete(id);
                resolve(value);
            }
            const timeout = setTimeout(() => settle(timeoutValue), timeoutMs);
            settlers.set(id, settle);
        }),
        settle: (id, value) => settlers.get(id)?.(value),
        settleAll: value => settlers.forEach(settle => settle(value)),
    };
}

export interface Batcher<Item> {
    add(item: Item): void;
}

/** Collects the items added in one turn of the event loop, so that they share one append and one sync. */
export function createBatcher<Item>(flush: (items: readonly Item[]) => void): Batcher<Item> {
    let items: Item[] = [];
    return {
        add(item) {
            items.push(item);
            if (items.length > 1) {
                return;
            }
            setImmediate(() => {
                const batch = items;
                items = [];
                flush(batch);
            });
        },
    };
}

/** Creates a timer for a due time that mostly moves later: it checks the due time when it fires instead of being reset on every change. */
export function createDueTimer(nowMs: () => number, dueMs: () => number, onDue: () => void): { reschedule(): void; stop(): void } {
    let timer: NodeJS.Timeout | undefined;
    let armedDueMs = Number.POSITIVE_INFINITY;
    function reschedule() {
        const dueAtMs = dueMs();
        if (timer !== undefined && dueAtMs >= armedDueMs) {
            return;
        }
        clearTimeout(timer);
        armedDueMs = dueAtMs;
        timer = setTimeout(fire, Math.max(1, dueAtMs - nowMs()));
    }
    function fire() {
        timer = undefined;
        if (nowMs() >= dueMs()) {
            onDue();
        }
        reschedule();
    }
    return {
        reschedule,
        stop() {
            clearTimeout(timer);
        },
    };
}
