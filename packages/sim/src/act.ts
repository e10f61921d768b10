/**
 * One thing that an explored schedule does: to which machine, when, with what size. Invariant: `at` rises along a
 * list.
 */
export type Act = {
  at: number;
  who: string;
  size: number;
  does:
    | 'kill'
    | 'freeze'
    | 'pause'
    | 'curt'
    | 'cut'
    | 'oneway'
    | 'stall'
    | 'fail'
    | 'wipe'
    | 'tear'
    | 'lose'
    | 'snare'
    | 'move'
    | 'confirm'
    | 'race'
    | 'read'
    | 'lease'
    | 'handover';
};
