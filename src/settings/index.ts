/**
 * Settings file of the entry daemon.
 * @packageDocumentation
 */
export {
  checkEntrySettings,
  entrySettingsSchema,
  readEntrySettings,
  type EntrySettings,
} from "./entry-settings.js";
