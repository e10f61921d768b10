import type { DaemonStatus } from '@pumicebarrow/router';

/** One daemon of the fleet as clerk met it; without a status where it could not be reached. */
export type Daemon = { id: string; addr: string; role: 'router' | 'keeper'; zone: string; told: DaemonStatus | null };
