import { Args } from "@oclif/core";
import { ChangeCommand } from "../../baseCommand.js";

/** Drains a data centre. */
export default class DataCentreDrain extends ChangeCommand {
    static override summary = "Drain a data centre: it gets no new work, and running work finishes.";
    static override aliases = ["data-centre:drain"];
    static override examples = ["<%= config.bin %> datacentre drain scl-b --wait"];
    static override args = { name: Args.string({ description: "data centre", required: true }) };

    async run() {
        const { args, flags } = await this.parse(DataCentreDrain);
        // An urgent drain must not fail because of an unrelated change, so it expects no particular version.
        return this.withClient(flags, client =>
            this.change(client, flags, undefined, [{ kind: "set-drained", dataCentre: args.name, drained: true }]));
    }
}
