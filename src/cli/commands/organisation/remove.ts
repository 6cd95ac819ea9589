import { Args } from "@oclif/core";
import { configurationViewSchema } from "../../api.js";
import { ChangeCommand } from "../../baseCommand.js";

/** Removes an organisation with its keys. */
export default class OrganisationRemove extends ChangeCommand {
    static override summary = "Remove an organisation; its keys are refused from then on.";
    static override examples = ["<%= config.bin %> organisation remove studio-maipu"];
    static override args = { name: Args.string({ description: "organisation", required: true }) };

    async run() {
        const { args, flags } = await this.parse(OrganisationRemove);
        return this.withClient(flags, async client => {
            const view = await client.get("/v1/configuration", configurationViewSchema);
            return this.change(client, flags, view.version, [{ kind: "remove-organisation", name: args.name }]);
        });
    }
}
