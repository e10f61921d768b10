/** How a server stood some hundred ms ago, by its own word. */
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
