import { RequestCommand } from './request.js';

/** The commands that only routers and keepers know, by name. */
export const FleetCommands = { request: RequestCommand };
