/** A logger of one component; the component's name is added to each line. */
export type Log = { info(text: string): void; warn(text: string): void };
