import type { AdmissionControl } from './admissioncontrol.js';

/** Admission control, as request handling uses it. */
export type AdmissionController = ReturnType<typeof AdmissionControl.make>;
