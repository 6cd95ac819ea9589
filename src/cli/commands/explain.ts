import { Args, Flags } from "@oclif/core";
import { readText } from "../../config/index.js";
import { ZinniaCommand } from "../baseCommand.js";
import { FindingsError, RefusedError } from "../errors.js";
import { type LogLine, readLogLines, rowOf, storyOf } from "../requestLog.js";
import { formatTable } from "../table.js";

function readLog(file: string): LogLine[] {
    const text = readText(file);
    if (text.value === undefined) {
        throw new FindingsError(text.findings);
    }
    return readLogLines(text.value);
}

/** Shows what saved logs say of a request. */
export default class Explain extends ZinniaCommand {
    static override summary = "Explain what became of a request, from the daemons' saved logs.";
    static override examples = ["<%= config.bin %> explain 9c41d07be2a35f68 --file entry-1.log --file control-1.log"];
    static override args = { requestId: Args.string({ description: "the id that the caller sent", required: true }) };
    static override flags = { file: Flags.string({ description: "saved log of a daemon", multiple: true, required: true }) };

    async run() {
        const { args, flags } = await this.parse(Explain);
        const story = storyOf(args.requestId, flags.file.flatMap(readLog));
        if (story === undefined) {
            throw new RefusedError(`no line about request ${args.requestId} in these files`, "unknown-request");
        }
        const headings = ["time", "daemon", "what", "facts"];
        this.log(`${args.requestId}: ${story.verdict}`);
        this.log(`\n${formatTable(headings, story.own.map(rowOf))}`);
        if (story.around.length > 0) {
            this.log(`\nits upstreams at that time\n${formatTable(headings, story.around.map(rowOf))}`);
        }
        return { ...story };
    }
}
