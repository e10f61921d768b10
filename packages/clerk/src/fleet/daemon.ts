import type { DaemonStatus } from '@pumicebarrow/router';

/**
 * A daemon of a routed fleet. `told` is its status as reported by itself, null if it could not be reached; the role
 * `keeper` means control replica.
 */
export type Daemon = { id: string; addr: string; role: 'router' | 'keeper'; zone: string; told: DaemonStatus | null };
