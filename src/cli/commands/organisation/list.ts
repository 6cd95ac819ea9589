import { configurationViewSchema } from "../../api.js";
import { OperatorsCommand } from "../../baseCommand.js";
import { formatTable } from "../../table.js";

/** Shows the organisations. */
export default class OrganisationList extends OperatorsCommand {
    static override summary = "Show the organisations, their home regions and how many keys each has.";
    static override examples = ["<%= config.bin %> organisation list"];

    async run() {
        const { flags } = await this.parse(OrganisationList);
        const view = await this.withClient(flags, client => client.get("/v1/configuration", configurationViewSchema));
        const organisations = view.configuration.organisations
            .map(({ name, homeRegion, keyHashes }) => ({ name, homeRegion, keys: keyHashes.length }));
        this.log(formatTable(["organisation", "home region", "keys"], organisations.map(item => [item.name, item.homeRegion, item.keys])));
        return { organisations };
    }
}
