import type { FleetRecords } from './fleetrecords.js';

/** Configuration and stage assignments, as other modules read them. */
export type FleetRecordsView = ReturnType<typeof FleetRecords.make>;
