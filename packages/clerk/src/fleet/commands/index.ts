import { RequestCommand } from './request.js';

/** The commands that only routers and control replicas support, by name. */
export const FleetCommands = { request: RequestCommand };
