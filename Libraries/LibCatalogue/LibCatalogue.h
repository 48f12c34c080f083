#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCatalogue/CatalogueParser.h>
#include <LibCatalogue/CatalogueParts.h>
#include <LibCatalogue/CatalogueStore.h>
#include <LibCatalogue/CatalogueVersion.h>
#include <LibCatalogue/ContentDigest.h>
