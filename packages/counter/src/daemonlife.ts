import { createMachine, state, transition } from 'robot3';

/**
 * The life of a counter daemon. Requests come in only while 'serving'. A start and a wake both lead through 'asking',
 * in which the newest charter is sought before anything is served.
 */
export const DaemonLife = createMachine('starting', {
  starting: state(transition('begin', 'asking'), transition('leave', 'draining')),
  asking: state(transition('sure', 'serving'), transition('leave', 'draining')),
  serving: state(transition('woke', 'asking'), transition('leave', 'draining')),
  draining: state(transition('empty', 'stopped')),
  stopped: state(),
});
