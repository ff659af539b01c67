/**
 * Settings files of the daemons.
 * @packageDocumentation
 */
export {
  checkEntrySettings,
  entrySettingsSchema,
  readEntrySettings,
  type EntrySettings,
} from "./entry-settings.js";
