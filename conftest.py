"""
Keeps the standard module ``platform`` importable beside the folder ``platform/``.

Pytest names test modules after their folders and replaces a parent module that is not a
package.
"""

import platform
from pathlib import Path

platform.__path__ = [str(Path(__file__).parent / "platform")]
