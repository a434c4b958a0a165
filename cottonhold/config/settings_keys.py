"""Which keys the settings of a file have, so that a reload of a file that lacks some of them is rejected.

Many keys are optional, with defaults that are right only where the deployment never had them. So a file that
lacks a key of the file in force is incomplete, whatever the default.
"""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.message_validation import Json

CLASSES = "classes"
# Keys of a class that others have and a new one may lack.
OPTIONAL_CLASS_KEYS = frozenset({"aim_stretch", "by_arrival", "models_open", "zones_open"})
MAX_NAME_CHARACTERS = 40  # of an entry's name in an error

EntryId = tuple[str, str]  # the key of a list, and the name of an entry in it


@dataclass(slots=True, frozen=True)
class SettingsKeys:
    """The keys with a value: of the settings, their sections, and the named entries of their lists.

    Attributes:
        sections: The keys of each section; those of the settings themselves under the empty name.
        entries: The keys of each named entry, such as a class.
    """

    sections: dict[str, frozenset[str]]
    entries: dict[EntryId, frozenset[str]]

    @classmethod
    def of(cls, settings: Json) -> SettingsKeys:
        """Return the keys of a file's settings."""
        sections, entries = {"": _keys(settings)}, dict[EntryId, frozenset[str]]()
        for key, value in settings.items():
            if isinstance(value, dict):
                sections[key] = _keys(value)
            elif isinstance(value, list):
                for entry in value:
                    if isinstance(entry, dict) and isinstance(entry.get("name"), str):
                        entries[key, entry["name"]] = _keys(entry)
        return cls(sections, entries)

    def missing_in(self, new: SettingsKeys) -> list[str]:
        """Return the keys that new settings lack, each with its section or entry.

        Named entries may be dropped as a whole. A new class has the keys that all former classes have, except
        for the optional ones.
        """
        missing = []
        for section, keys in self.sections.items():
            prefix = f"{section}." if section else ""
            missing += [prefix + key for key in keys - new.sections.get(section, frozenset())]
        for entry_id, keys in new.entries.items():
            needed = self.entries.get(entry_id) or self._common_keys(entry_id[0])
            missing += [f"{_shown(entry_id)}.{key}" for key in needed - keys]
        return sorted(missing)

    def _common_keys(self, list_key: str) -> frozenset[str]:
        """Return the keys that a new entry of a list needs; only classes need any."""
        former = [keys for (key, _), keys in self.entries.items() if key == list_key == CLASSES]
        return frozenset.intersection(*former) - OPTIONAL_CLASS_KEYS if former else frozenset()


def _keys(source: Json) -> frozenset[str]:
    return frozenset(key for key, value in source.items() if value is not None)


def _shown(entry_id: EntryId) -> str:
    list_key, name = entry_id
    return f"{list_key}[{name[:MAX_NAME_CHARACTERS]!r}]"
