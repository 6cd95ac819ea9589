import { Args } from "@oclif/core";
import { ChangeCommand } from "../../baseCommand.js";

/** Restores a drained data centre. */
export default class DataCentreRestore extends ChangeCommand {
    static override summary = "Restore a drained data centre.";
    static override aliases = ["data-centre:restore"];
    static override examples = ["<%= config.bin %> datacentre restore scl-b --wait"];
    static override args = { name: Args.string({ description: "data centre", required: true }) };

    async run() {
        const { args, flags } = await this.parse(DataCentreRestore);
        return this.withClient(flags, client =>
            this.change(client, flags, undefined, [{ kind: "set-drained", dataCentre: args.name, drained: false }]));
    }
}
