/**
 * Sends the reports of an entry to one control daemon. They share one stream: with 300 entries that report four times a second, a call for
 * each report costs the leader 0.25 ms of processor time, 0.3 of its core, and a message of an open stream with its answer 0.11 ms.
 *
 * @module
 */

import { Code, ConnectError, createClient } from "@connectrpc/connect";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { type PeerConnection, type SiteReportSchema, SiteService, type SiteReportSummary } from "../rpc/index.js";
import { type AsyncQueue, createAsyncQueue } from "../runtime/index.js";

type ReportMessage = MessageInitShape<typeof SiteReportSchema>;

/** An answer that takes longer counts as lost, and with it the stream. */
const answerTimeoutMs = 1_000;

export interface ReportSender {
    /** Resolves to the answer; rejects if there is none within a second or the stream ends. Lost reports are not sent again. */
    send(report: ReportMessage): Promise<SiteReportSummary>;
    close(): void;
}

interface PendingReport {
    readonly resolve: (summary: SiteReportSummary) => void;
    readonly reject: (error: Error) => void;
    readonly timer: NodeJS.Timeout;
}

interface OpenStream {
    readonly outgoing: AsyncQueue<ReportMessage>;
    readonly pending: PendingReport[];
    readonly abort: AbortController;
}

/** Creates a sender, which opens its stream with the first report and anew with the first one after the stream has ended. */
export function createReportSender(connection: Pick<PeerConnection, "transport">): ReportSender {
    const client = createClient(SiteService, connection.transport);
    let stream: OpenStream | undefined;
    /** Whether the control daemon is older than the stream of reports and receives them one by one. */
    let isOlder = false;

    async function readAnswers(opened: OpenStream) {
        let cause: Error = new Error("the stream of reports has ended");
        try {
            for await (const summary of client.reports(opened.outgoing, { signal: opened.abort.signal })) {
                const answered = opened.pending.shift();
                clearTimeout(answered?.timer);
                answered?.resolve(summary);
            }
        }
        catch (error) {
            isOlder ||= error instanceof ConnectError && error.code === Code.Unimplemented;
            cause = error as Error;
        }
        if (stream === opened) {
            stream = undefined;
        }
        opened.outgoing.end();
        for (const { timer, reject } of opened.pending.splice(0)) {
            clearTimeout(timer);
            reject(cause);
        }
    }

    function open(): OpenStream {
        const opened: OpenStream = { outgoing: createAsyncQueue<ReportMessage>(), pending: [], abort: new AbortController() };
        stream = opened;
        void readAnswers(opened);
        return opened;
    }

    function sendOverStream(report: ReportMessage): Promise<SiteReportSummary> {
        const { outgoing, pending, abort } = stream ?? open();
        return new Promise((resolve, reject) => {
            pending.push({ resolve, reject, timer: setTimeout(() => abort.abort(), answerTimeoutMs) });
            outgoing.push(report);
        });
    }

    const sendAlone = (report: ReportMessage) => client.report(report, { timeoutMs: answerTimeoutMs });

    return {
        async send(report) {
            if (isOlder) {
                return sendAlone(report);
            }
            try {
                return await sendOverStream(report);
            }
            catch (error) {
                // The first report to an older daemon; the next ones go there directly.
                if (isOlder) {
                    return sendAlone(report);
                }
                throw error;
            }
        },
        close() {
            stream?.outgoing.end();
            stream?.abort.abort();
            stream = undefined;
        },
    };
}
