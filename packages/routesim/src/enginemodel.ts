/** How a model server works. Times are in ms, `pace` in prompt tokens a ms; a decode server reads at half the pace. */
export type EngineModel = {
  slots: number;
  /** Tokens that fit its memory. */
  memory: number;
  /** Requests that may wait; more are turned away. */
  queue: number;
  /** One token of each request that runs, and what each of them adds. */
  step: number;
  stepPerRun: number;
  pace: number;
  /** Prompt tokens that are read in one go. */
  chunk: number;
  /** Mbit/s of the link over which it fetches the memory of prompts. */
  link: number;
};
