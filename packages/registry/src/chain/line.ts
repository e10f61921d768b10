import { ControlClient } from './controlclient.js';

/** `ControlClient` under its name of the previous release, kept for embedders for one release. */
export const Line = ControlClient;
