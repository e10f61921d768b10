import { ControlClient } from './controlclient.js';

/** The name of `ControlClient` in the release before, kept for embedders for one release. */
export const Line = ControlClient;
