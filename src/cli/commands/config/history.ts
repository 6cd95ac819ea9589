import { historySchema } from "../../api.js";
import { OperatorsCommand } from "../../baseCommand.js";
import { formatTable } from "../../table.js";

/** Shows the accepted changes and their authors. */
export default class ConfigHistory extends OperatorsCommand {
    static override summary = "Show the accepted changes, oldest first.";
    static override examples = ["<%= config.bin %> config history"];

    async run() {
        const { flags } = await this.parse(ConfigHistory);
        const history = await this.withClient(flags, client => client.get("/v1/configuration/history", historySchema));
        const rows = history.changes.map(change => [
            change.version,
            new Date(change.atMs).toISOString(),
            change.author,
            change.summary.join(", "),
            change.changeId,
        ]);
        this.log(formatTable(["version", "at", "author", "edits", "change"], rows));
        return history;
    }
}
