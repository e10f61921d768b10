import type { Motor } from '@pumicebarrow/sim';

/** One direction of a connection. Invariant: what is pushed comes out in that order, however long a cut holds it up. */
export const Deliveries = {
  make(motor: Motor, held: () => boolean, delay: () => number) {
    const waiting: (() => void)[] = [];
    let pumping = false;
    const pump = (): void => {
      if (held()) {
        motor.at(motor.now() + 25, pump);
        return;
      }
      const all = waiting.splice(0);
      pumping = false;
      for (const fn of all) fn();
    };
    return {
      push(fn: () => void): void {
        waiting.push(fn);
        if (pumping) return;
        pumping = true;
        motor.at(motor.now() + delay(), pump);
      },
    };
  },
};
