import type { Drill } from './drill.js';
import { Closings } from './drills/closings.js';
import { ConfigDrills } from './drills/configdrills.js';
import { CoreDrills } from './drills/coredrills.js';
import { MachineDrills } from './drills/machinedrills.js';
import { ServerDrills } from './drills/serverdrills.js';
import { WorstDrills } from './drills/worstdrills.js';
import { SureDrills } from './drills/suredrills.js';
import { ZoneDrills } from './drills/zonedrills.js';

/** All drills, by name. */
export const Drills: ReadonlyMap<string, Drill> = new Map(
  [
    ...[ConfigDrills, ServerDrills, MachineDrills, CoreDrills, Closings, SureDrills, WorstDrills, ZoneDrills].flat(),
  ].map((d) => [d.name, d]),
);
