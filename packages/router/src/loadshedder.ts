import type { Chance, Clock } from '@pumicebarrow/forms';

/** ms between two updates of the probability. */
const UPDATE = 100;
/** ms of waiting that are held: enough to keep servers busy, little enough for what is admitted to make its aim. */
const TARGET = 400;
/** What an update adds for each ms by which the wait is above the target, and by which it has grown. */
const GAIN = 0.00002;
const TREND = 0.0001;
/** Not all are turned away: some have to be admitted to see that the queue is shorter. */
const MOST = 0.95;
/** What is left of the probability after an update at which hardly anything waited. */
const FADE = 0.9;

/**
 * Random early rejection with a proportional integral controller, as PIE (RFC 8033) does it for packets: while requests
 * wait longer than a target, a growing part of them is turned away on arrival, whatever their kind and size; so queues
 * stay short, and what is admitted is served in time. Invariants: a short crowd hardly raises the probability; none is
 * turned away while hardly anything waits.
 */
export const LoadShedder = {
  make(clock: Clock, chance: Chance) {
    let probability = 0;
    /** The shortest wait seen since the last update, and in the one before. */
    let least = Infinity;
    let before = 0;
    let at = clock.mono();
    const update = (): void => {
      const updates = (clock.mono() - at) / UPDATE;
      if (updates < 1) return;
      at = clock.mono();
      if (least < TARGET / 2) probability *= FADE ** updates;
      const change = GAIN * (least - TARGET) * updates + TREND * (least - before);
      probability = Math.max(0, Math.min(MOST, probability + change));
      before = least;
      least = Infinity;
    };
    return {
      /** Whether a request is turned away, for which this many ms of work wait. */
      sheds(waits: number): boolean {
        least = Math.min(least, waits);
        update();
        return waits > TARGET / 2 && chance.real() < probability;
      },
      /** Whether requests are being turned away, now and then at least. */
      active: (): boolean => probability > 0,
    };
  },
};
