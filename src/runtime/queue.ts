/**
 * A queue between a producer that pushes and a consumer that iterates, for the sending side of long-lived streams.
 *
 * @module
 */

/** An unbounded queue. Producers are responsible for limiting its length. */
export interface AsyncQueue<Item> extends AsyncIterable<Item> {
    push(item: Item): void;
    /** Ends the iteration once all queued items have been consumed. Later items are dropped. */
    end(): void;
    readonly length: number;
}

/** Creates a queue for a single consumer. */
export function createAsyncQueue<Item>(): AsyncQueue<Item> {
    const items: Item[] = [];
    let resumeConsumer: (() => void) | undefined;
    let isEnded = false;

    function notify() {
        resumeConsumer?.();
        resumeConsumer = undefined;
    }

    return {
        push(item) {
            if (isEnded) {
                return;
            }
            items.push(item);
            notify();
        },
        end() {
            isEnded = true;
            notify();
        },
        get length() {
            return items.length;
        },
        async* [Symbol.asyncIterator]() {
            for (;;) {
                while (items.length > 0) {
                    yield items.shift()!;
                }
                if (isEnded) {
                    return;
                }
                await new Promise<void>(resolve => {
                    resumeConsumer = resolve;
                });
            }
        },
    };
}
