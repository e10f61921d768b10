import { Engine } from '@pumicebarrow/sim';

/**
 * Virtual time that also takes down whose each event was, and how long it took on this machine.
 * Invariant: an event has one owner, told while it runs, and all that settles before the next one is its own.
 */
export const MeteredMotor = {
  make(seed: number) {
    const motor = Engine.make(seed);
    const spent = new Map<string, number>();
    let owner = '';
    let from = 0;
    const close = (): void => {
      const now = performance.now();
      spent.set(owner, (spent.get(owner) ?? 0) + now - from);
      owner = '';
      from = now;
    };
    return {
      ...motor,
      own(id: string): void {
        owner = id;
      },
      /** ms of this machine by owner; '' is what belongs to no daemon. */
      spent: (): ReadonlyMap<string, number> => spent,
      reset: (): void => spent.clear(),
      at: (ms: number, fn: () => void): void =>
        motor.at(ms, () => {
          close();
          fn();
        }),
      async run(until: number): Promise<void> {
        from = performance.now();
        await motor.run(until);
        close();
      },
    };
  },
};
