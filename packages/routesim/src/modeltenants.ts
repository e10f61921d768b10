import type { Tenant } from '@pumicebarrow/forms';

const NAMES = ['t1', 't2', 't3'] as const;
/** The key that comes with a configuration is held by so many of them, that one included. */
const KEPT = 8;
const nameOf = (n: number): string => NAMES[((n % NAMES.length) + NAMES.length) % NAMES.length]!;

/**
 * The tenants of the configurations that operators propose. Invariants: a key is of one tenant in all of them, if it is
 * there at all; the n-th has a key of its own, which comes with it and goes some configurations later.
 */
export const ModelTenants = {
  /** The key that the clients of the n-th wish's tenant have, until it is taken away. */
  usual: (n: number): string => `usual ${nameOf(n)}`,
  /** The usual key of the tenant that a key is of. */
  usualOf: (key: string): string => `usual ${ModelTenants.of(key)}`,
  /** The key that comes with the n-th configuration. */
  own: (n: number): string => `own ${n} of ${nameOf(n)}`,
  /** The tenant that a key is of. */
  of: (key: string): string => key.slice(key.lastIndexOf(' ') + 1),
  /** Those of the n-th configuration, but for the usual keys that were taken away. */
  make: (n: number, revoked: ReadonlySet<string>): Tenant[] =>
    NAMES.map((name) => {
      const own = Array.from({ length: KEPT }, (_, i) => ModelTenants.own(n - i)).slice(0, Math.max(0, n));
      const keys = [`usual ${name}`, ...own].filter((key) => ModelTenants.of(key) === name && !revoked.has(key));
      return { name, keys };
    }),
  /** A key that two of them hold. */
  shared: (tenants: readonly Tenant[]): Tenant[] =>
    tenants.map((t, i) => (i === 0 ? t : { ...t, keys: [...t.keys, `usual ${NAMES[0]}`] })),
};
