import { Args } from "@oclif/core";
import { configurationViewSchema } from "../../api.js";
import { ChangeCommand } from "../../baseCommand.js";

/** Removes a class. */
export default class ClassRemove extends ChangeCommand {
    static override summary = "Remove a class; its requests are refused from then on.";
    static override examples = ["<%= config.bin %> class remove morning-abstract"];
    static override args = { name: Args.string({ description: "class", required: true }) };

    async run() {
        const { args, flags } = await this.parse(ClassRemove);
        return this.withClient(flags, async client => {
            const view = await client.get("/v1/configuration", configurationViewSchema);
            return this.change(client, flags, view.version, [{ kind: "remove-class", name: args.name }]);
        });
    }
}
