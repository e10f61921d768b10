import type { FleetConfiguration } from '@pumicebarrow/forms';

/** The size of one deployment, and how its requests come. */
export type Deployment = {
  name: string;
  edges: number;
  cores: number;
  zones: readonly string[];
  servers: number;
  slots: number;
  rate: number;
  diskPace: number;
  charter: FleetConfiguration;
};
