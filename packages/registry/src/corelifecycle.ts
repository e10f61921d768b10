import { createMachine, state, transition } from 'robot3';

/**
 * Lifecycle of a control replica. 'blank': nothing on disk and no view. 'newcomer': others have a view without it.
 * 'member': in the chain. 'sick': its disk has failed and it must be removed from the chain.
 */
export const CoreLifecycle = createMachine('blank', {
  blank: state(transition('found', 'newcomer'), transition('placed', 'member'), transition('ill', 'sick')),
  newcomer: state(transition('placed', 'member'), transition('ill', 'sick')),
  member: state(transition('found', 'newcomer'), transition('placed', 'member'), transition('ill', 'sick')),
  sick: state(transition('found', 'sick'), transition('well', 'newcomer')),
});
