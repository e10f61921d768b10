/**
 * State that a server reported about itself; it may be some hundred ms old. `orders` counts the stage orders it took.
 */
export type Report = {
  stage: 'prefill' | 'decode';
  busy: boolean;
  orders: number;
  queued: number;
  active: number;
  used: number;
  capacity: number;
  handles: number;
};
